/** Decides which VMs move between pools. */
export * from "./hysteresis_move_policy.ts";
export * from "./label_moves.ts";
export * from "./move_policy.ts";
export * from "./wanted_pool.ts";
export * from "./requested_action.ts";
