;; Tags requests by the end of their key: a line of the configuration is SUFFIX=CLASS, the first that fits holds.
(module
  (import "coralbay" "config_length" (func $config_length (result i32)))
  (import "coralbay" "config_read" (func $config_read (param i32)))
  (memory (export "memory") 2)
  (global $config_end (mut i32) (i32.const 65536))
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param $n i32) (result i32)
    (if (i32.gt_u (local.get $n) (i32.const 2048)) (then unreachable))
    i32.const 1024)

  ;; The configuration lies at 65536.
  (func (export "on_load") (result i32)
    (if (i32.gt_u (call $config_length) (i32.const 32768)) (then (return (i32.const 1))))
    (call $config_read (i32.const 65536))
    (global.set $config_end (i32.add (i32.const 65536) (call $config_length)))
    (i32.const 0))

  ;; The end of the line that begins here.
  (func $line_end (param $at i32) (result i32)
    (block $done
      (loop $next
        (br_if $done (i32.ge_u (local.get $at) (global.get $config_end)))
        (br_if $done (i32.eq (i32.load8_u (local.get $at)) (i32.const 10)))
        (local.set $at (i32.add (local.get $at) (i32.const 1)))
        (br $next)))
    (local.get $at))

  (func $equal (param $a i32) (param $b i32) (param $n i32) (result i32)
    (block $differ
      (loop $next
        (if (i32.eqz (local.get $n)) (then (return (i32.const 1))))
        (br_if $differ (i32.ne (i32.load8_u (local.get $a)) (i32.load8_u (local.get $b))))
        (local.set $a (i32.add (local.get $a) (i32.const 1)))
        (local.set $b (i32.add (local.get $b) (i32.const 1)))
        (local.set $n (i32.sub (local.get $n) (i32.const 1)))
        (br $next)))
    (i32.const 0))

  (func $find (param $from i32) (param $end i32) (param $byte i32) (result i32)
    (block $done
      (loop $next
        (br_if $done (i32.ge_u (local.get $from) (local.get $end)))
        (br_if $done (i32.eq (i32.load8_u (local.get $from)) (local.get $byte)))
        (local.set $from (i32.add (local.get $from) (i32.const 1)))
        (br $next)))
    (local.get $from))

  (func (export "on_request") (param $at i32) (param $n i32) (result i64)
    (local $key i32) (local $length i32) (local $line i32) (local $end i32) (local $is i32) (local $suffix i32) (local $class i32)
    (local.set $key (i32.add (local.get $at) (i32.const 8)))
    (local.set $length (i32.load16_u offset=6 (local.get $at)))
    (local.set $line (i32.const 65536))
    (loop $next
      (if (i32.lt_u (local.get $line) (global.get $config_end))
        (then
          (local.set $end (call $line_end (local.get $line)))
          (local.set $is (call $find (local.get $line) (local.get $end) (i32.const 0x3d)))
          (local.set $suffix (i32.sub (local.get $is) (local.get $line)))
          (if (i32.and (i32.lt_u (local.get $is) (local.get $end)) (i32.le_u (local.get $suffix) (local.get $length)))
            (then
              (if (call $equal (local.get $line)
                  (i32.sub (i32.add (local.get $key) (local.get $length)) (local.get $suffix)) (local.get $suffix))
                (then
                  ;; order 2: the class
                  (local.set $class (i32.sub (i32.sub (local.get $end) (local.get $is)) (i32.const 1)))
                  (i32.store8 (i32.const 4096) (i32.const 2))
                  (i32.store16 (i32.const 4097) (local.get $class))
                  (memory.copy (i32.const 4099) (i32.add (local.get $is) (i32.const 1)) (local.get $class))
                  (return (i64.or (i64.const 0x100000000000)
                    (i64.extend_i32_u (i32.add (local.get $class) (i32.const 3)))))))))
          (local.set $line (i32.add (local.get $end) (i32.const 1)))
          (br $next))))
    (i64.const 0)))
