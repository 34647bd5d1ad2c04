/** Composition of the processes that run jobs. */
export * from "./create_scheduling_controller.ts";
export * from "./create_scheduling_entry.ts";
export * from "./scheduling_base.ts";
