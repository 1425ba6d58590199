//! The soak test: a few dozen real daemons on loopback, with stand-ins for everything around them (`cottonnotch_kit`), two or three
//! troubles that overlap in time, and system calls and a wall clock that fail as Linux documents (`cottonnotch_shims`). A run is drawn
//! from its seed and judged by the kit's rules from outside, by the daemons' own guards, and by how each process ended.

pub mod course;
pub mod draw;
pub mod logs;
pub mod play;
