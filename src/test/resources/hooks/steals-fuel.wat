;; sets the only global it has, hoping that it is the one that counts
(module
  
  (memory (export "memory") 1)
  
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (global $g (mut i64) (i64.const 0))
  (func (export "on_request") (param i32 i32) (result i64) (loop (global.set $g (i64.const 1000000)) (br 0)) i64.const 0)
)
