;; keeps state across calls, and traps by it
(module
  
  (memory (export "memory") 1)
  
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (global $n (mut i64) (i64.const 0))
  (func (export "on_request") (param i32 i32) (result i64) (global.set $n (i64.add (global.get $n) (i64.const 1))) (if (i64.gt_u (global.get $n) (i64.const 20)) (then unreachable)) i64.const 0)
)
