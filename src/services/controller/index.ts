/** Controller for VM moves, maintenance and capacity. */
export * from "./controller.ts";
export * from "./controller_options.ts";
export * from "./notice_log.ts";
export * from "./in_force.ts";
export * from "./task_drainer.ts";
