/** Policies of the scheduler: order, placement, capacity and maintenance. */
export * from "./order_policy.ts";
export * from "./placement_policy.ts";
export * from "./ready_step.ts";
export * from "./run_delays.ts";
export * from "./start_planner.ts";
export * from "./availability.ts";
export * from "./maintenance_policy.ts";
export * from "./maintenance_pace.ts";
export * from "./maintenance_turns.ts";
export * from "./capacity_policy.ts";
export * from "./demand_forecast.ts";
export * from "./pace_policy.ts";
export * from "./spare_room.ts";
export * from "./trend_forecast.ts";
export * from "./turn_forecast.ts";
export * from "./wait_reason.ts";
export * from "./waiting_demand.ts";
