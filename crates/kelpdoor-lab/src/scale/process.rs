//! Processor time, memory and descriptors of processes, as the system counts them.
