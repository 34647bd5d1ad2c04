/** Metrics. */
export * from "./prometheus_metrics.ts";
