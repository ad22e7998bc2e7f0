//! This library is empty: `verbenactl`, the operators' client, is the program in `src/main.rs`.
