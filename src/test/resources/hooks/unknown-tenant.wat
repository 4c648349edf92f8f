;; an unknown tenant
(module
  
  (memory (export "memory") 1)
  
  (func (export "abi_version") (result i32) i32.const 1)
  (func (export "alloc") (param i32) (result i32) i32.const 1024)
  (data (i32.const 8192) "\03\06\00\6e\6f\73\75\63\68")
  (func (export "on_request") (param i32 i32) (result i64) i64.const 35184372088841)
)
