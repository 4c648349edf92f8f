;; Maps the keys of three rivals onto one scheme, sub/ID/LANGUAGE:
;;   A:ID/LANGUAGE   b-ID-LANGUAGE   C|LANGUAGE|ID
;; Other keys stay. Orders are built at 4096: tag 1, length, key.
(module
  (memory (export "memory") 1)
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param $n i32) (result i32)
    (if (i32.gt_u (local.get $n) (i32.const 2048)) (then unreachable))
    i32.const 1024)

  ;; Copies bytes, with one byte in another's place; returns where the copy ends.
  (func $copy (param $from i32) (param $to i32) (param $n i32) (param $old i32) (param $new i32) (result i32)
    (local $c i32)
    (block $done
      (loop $next
        (br_if $done (i32.eqz (local.get $n)))
        (local.set $c (i32.load8_u (local.get $from)))
        (i32.store8 (local.get $to)
          (select (local.get $new) (local.get $c) (i32.eq (local.get $c) (local.get $old))))
        (local.set $from (i32.add (local.get $from) (i32.const 1)))
        (local.set $to (i32.add (local.get $to) (i32.const 1)))
        (local.set $n (i32.sub (local.get $n) (i32.const 1)))
        (br $next)))
    (local.get $to))

  ;; The place of a byte, or the end.
  (func $find (param $from i32) (param $end i32) (param $byte i32) (result i32)
    (block $done
      (loop $next
        (br_if $done (i32.ge_u (local.get $from) (local.get $end)))
        (br_if $done (i32.eq (i32.load8_u (local.get $from)) (local.get $byte)))
        (local.set $from (i32.add (local.get $from) (i32.const 1)))
        (br $next)))
    (local.get $from))

  (func (export "on_request") (param $at i32) (param $n i32) (result i64)
    (local $key i32) (local $end i32) (local $head i32) (local $out i32) (local $bar i32)
    (local.set $key (i32.add (local.get $at) (i32.const 8)))
    (local.set $end (i32.add (local.get $key) (i32.load16_u offset=6 (local.get $at))))
    (if (i32.lt_u (i32.sub (local.get $end) (local.get $key)) (i32.const 3)) (then (return (i64.const 0))))
    (local.set $head (i32.load16_u (local.get $key)))
    (local.set $key (i32.add (local.get $key) (i32.const 2)))
    (i32.store (i32.const 4099) (i32.const 0x2f627573)) ;; "sub/"
    (local.set $out (i32.const 4103))
    (block $built
      (if (i32.eq (local.get $head) (i32.const 0x3a41)) ;; "A:"
        (then
          (local.set $out (call $copy (local.get $key) (local.get $out)
            (i32.sub (local.get $end) (local.get $key)) (i32.const 0) (i32.const 0)))
          (br $built)))
      (if (i32.eq (local.get $head) (i32.const 0x2d62)) ;; "b-"
        (then
          (local.set $out (call $copy (local.get $key) (local.get $out)
            (i32.sub (local.get $end) (local.get $key)) (i32.const 0x2d) (i32.const 0x2f)))
          (br $built)))
      (if (i32.eq (local.get $head) (i32.const 0x7c43)) ;; "C|"
        (then
          (local.set $bar (call $find (local.get $key) (local.get $end) (i32.const 0x7c)))
          (if (i32.eq (local.get $bar) (local.get $end)) (then (return (i64.const 0))))
          (local.set $out (call $copy (i32.add (local.get $bar) (i32.const 1)) (local.get $out)
            (i32.sub (i32.sub (local.get $end) (local.get $bar)) (i32.const 1)) (i32.const 0) (i32.const 0)))
          (i32.store8 (local.get $out) (i32.const 0x2f))
          (local.set $out (call $copy (local.get $key) (i32.add (local.get $out) (i32.const 1))
            (i32.sub (local.get $bar) (local.get $key)) (i32.const 0) (i32.const 0)))
          (br $built)))
      (return (i64.const 0)))
    (i32.store8 (i32.const 4096) (i32.const 1))
    (i32.store16 (i32.const 4097) (i32.sub (local.get $out) (i32.const 4099)))
    (i64.or (i64.const 0x100000000000)
      (i64.extend_i32_u (i32.sub (local.get $out) (i32.const 4096))))))
