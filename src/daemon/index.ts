/** Settings and composition of an entry. */
export * from "./create_entry.ts";
export * from "./entry_context.ts";
export * from "./settings/index.ts";
