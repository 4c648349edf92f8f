;; does as the key's first byte says: s spins for ever, t traps, w waits for 300 ms by the clock, l for 3 s; all but the first two order
;; the key n and the number of calls of this instance
(module
  (import "coralbay" "now_ms" (func $now (result i64)))
  (memory (export "memory") 1)
  (global $n (mut i32) (i32.const 0))
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (data (i32.const 8192) "\01\02\00\6e\30")
  (func (export "on_request") (param $at i32) (param i32) (result i64)
    (local $first i32) (local $until i64)
    (local.set $first (i32.load8_u offset=8 (local.get $at)))
    (global.set $n (i32.add (global.get $n) (i32.const 1)))
    (if (i32.eq (local.get $first) (i32.const 0x73)) (then (loop (br 0))))
    (if (i32.eq (local.get $first) (i32.const 0x74)) (then unreachable))
    (if (i32.eq (local.get $first) (i32.const 0x77)) (then (local.set $until (i64.add (call $now) (i64.const 300)))))
    (if (i32.eq (local.get $first) (i32.const 0x6c)) (then (local.set $until (i64.add (call $now) (i64.const 3000)))))
    (if (i64.ne (local.get $until) (i64.const 0)) (then
      (loop $on (br_if $on (i64.lt_u (call $now) (local.get $until))))))
    (i32.store8 (i32.const 8196) (i32.add (i32.const 0x30) (global.get $n)))
    i64.const 35184372088837)
)
