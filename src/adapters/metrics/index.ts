/** Exposes metrics to Prometheus. */
export * from "./prometheus_metrics.ts";
