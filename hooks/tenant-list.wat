;; Refuses the tenants that its configuration lists, one a line, for a second.
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

  (data (i32.const 4096) "\05\04\00\e8\03\00\00") ;; order 5, 4 bytes: 1000 ms

  (func (export "on_request") (param $at i32) (param $n i32) (result i64)
    (local $tenant i32) (local $length i32) (local $line i32) (local $end i32)
    ;; Behind the key and the class.
    (local.set $tenant (i32.add (i32.add (local.get $at) (i32.const 8)) (i32.load16_u offset=6 (local.get $at))))
    (local.set $tenant (i32.add (i32.add (local.get $tenant) (i32.const 2)) (i32.load16_u (local.get $tenant))))
    (local.set $length (i32.load16_u (local.get $tenant)))
    (local.set $tenant (i32.add (local.get $tenant) (i32.const 2)))
    (local.set $line (i32.const 65536))
    (loop $next
      (if (i32.lt_u (local.get $line) (global.get $config_end))
        (then
          (local.set $end (call $line_end (local.get $line)))
          (if (i32.and (i32.eq (i32.sub (local.get $end) (local.get $line)) (local.get $length))
              (call $equal (local.get $line) (local.get $tenant) (local.get $length)))
            (then (return (i64.const 0x100000000007))))
          (local.set $line (i32.add (local.get $end) (i32.const 1)))
          (br $next))))
    (i64.const 0)))
