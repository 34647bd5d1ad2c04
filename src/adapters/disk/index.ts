/** Stores of the replicated log, and the file system below them. */
export * from "./file_log_store.ts";
export * from "./memory_log_store.ts";
export * from "./node_file_system.ts";
export * from "./record_codec.ts";
export * from "./replaced_file.ts";
