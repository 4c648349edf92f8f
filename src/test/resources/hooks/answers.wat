;; logs how each request was answered
(module
  (import "coralbay" "log" (func $log (param i32 i32)))
  (memory (export "memory") 1)
  
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (data (i32.const 8192) "served") (data (i32.const 8200) "missing") (data (i32.const 8208) "refused")
  (func (export "on_answer") (param i32 i32) (local i32)
    (local.set 2 (i32.add (i32.const 8192) (i32.mul (i32.const 8) (i32.load8_u (i32.sub (i32.add (local.get 0) (local.get 1)) (i32.const 5))))))
    (call $log (local.get 2) (i32.const 6)))
  (func (export "on_request") (param i32 i32) (result i64) i64.const 0)
)
