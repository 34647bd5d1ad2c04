/** Stores the replicated log in files or, without a disk, not at all. */
export * from "./file_log_store.ts";
export * from "./memory_log_store.ts";
export * from "./node_file_system.ts";
export * from "./record_codec.ts";
export * from "./replaced_file.ts";
