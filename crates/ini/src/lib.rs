//! INI documents with line numbers.
