/** Groups of tasks that stop together, and waiting without spinning. */
export * from "./batch_sender.ts";
export * from "./callback_list.ts";
export * from "./mutex.ts";
export * from "./notifier.ts";
export * from "./on_abort.ts";
export * from "./run_together.ts";
export * from "./task_group.ts";
export * from "./wait_for.ts";
