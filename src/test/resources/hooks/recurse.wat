;; recurses without end
(module
  
  (memory (export "memory") 1)
  
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (func $f (param i32) (result i32) (i32.add (call $f (local.get 0)) (i32.const 1)))
  (func (export "on_request") (param i32 i32) (result i64) (drop (call $f (i32.const 1))) i64.const 0)
)
