/** Composition of the processes of a scheduling deployment. */
export * from "./create_scheduling_controller.ts";
export * from "./create_scheduling_entry.ts";
export * from "./scheduling_base.ts";
