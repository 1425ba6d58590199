//! The C library's own calls, behind this library's stand-ins.

/// Defines a function that calls the C library's function of that name.
macro_rules! real {
    ($name:ident($($argument:ident: $type:ty),*) -> $result:ty) => {
        mod $name {
            #[allow(unused_imports)]
            use super::*;
            pub unsafe fn call($($argument: $type),*) -> $result {
                use std::sync::atomic::{AtomicPtr, Ordering};
                static FOUND: AtomicPtr<libc::c_void> = AtomicPtr::new(std::ptr::null_mut());
                let mut found = FOUND.load(Ordering::Relaxed);
                if found.is_null() {
                    let name = concat!(stringify!($name), "\0");
                    // SAFETY: the name ends with a zero; the next library is the C library or another shim.
                    found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) };
                    FOUND.store(found, Ordering::Relaxed);
                }
                type Call = unsafe extern "C" fn($($type),*) -> $result;
                // SAFETY: the C library's function of this name has this type.
                let call: Call = unsafe { std::mem::transmute::<*mut libc::c_void, Call>(found) };
                // SAFETY: as the caller promises.
                unsafe { call($($argument),*) }
            }
        }
    };
}
pub(crate) use real;
