/** Manifests of the cases. */

export const HOST = "bay.example";
export const KEY = "key-of-the-tenant";

/**
 * Creates a manifest with one queue a pool; the path prefix of a queue is the
 * pool's name.
 */
export function createManifest(version, pools, changes = {}) {
  return {
    version,
    routes: pools.map((pool) => ({
      name: `r-${pool}`,
      host: HOST,
      path_prefix: `/${pool}/`,
      kind: "unsafe",
      timeout_ms: 3_000,
      target_latency_ms: 600,
      priority: 0,
      service: pool,
      max_attempts: 4,
      stretch: 1.6,
      public: false,
    })),
    services: pools.map((name) => ({
      name,
      health_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      cold_start_s: 0,
      cold_per_s: 0,
      rejects_overload: false,
      standby: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{
      name: "tenant-1",
      api_keys: [KEY],
      priority: 1,
      weight: 10,
      max_count: { cpu: 0, mem_mb: 0, gpus: 0 },
    }],
    ...changes,
  };
}

/** Id of a job: 16 hexadecimal digits. */
export function createJobId(number) {
  return number.toString(16).padStart(16, "0");
}

/** A job of one step. */
export function createJob(count, workMs, step = {}) {
  return {
    spec: JSON.stringify({ workMs }),
    phases: [{
      count,
      cpu: 1_000,
      mem_mb: 100,
      estimate_ms: Math.min(workMs, 10_000),
      ...step,
    }],
  };
}
