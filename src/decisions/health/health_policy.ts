/** Judges the health of backend servers by the results of attempts. */

/** The result of one attempt. */
export interface AttemptResult {
  readonly backendServerId: string;
  readonly pool: string;
  /** Whether the backend server behaved as a healthy one does. */
  readonly healthy: boolean;
  /** Identifies equal work: the same queue, path and content. */
  readonly fingerprint: string;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** The ejection of a backend server, with the figures that led to it. */
export interface Ejection {
  readonly backendServerId: string;
  readonly pool: string;
  readonly failedCount: number;
  readonly resultCount: number;
  readonly ejectedMs: number;
  readonly ejectionCount: number;
}

/** The backend servers of one pool that would get new work. */
export interface PoolMembers {
  readonly pool: string;
  readonly backendServerIds: readonly string[];
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** Ejects backend servers that fail: they get no new work for some time. */
export interface HealthPolicy {
  /**
   * Records the result of an attempt.
   *
   * @param result - The result.
   * @returns The ejection that the result led to, or undefined.
   */
  recordResult(result: AttemptResult): Ejection | undefined;
  /**
   * Records that an attempt starts on a backend server.
   *
   * @param backendServerId - Id of the backend server.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordStart(backendServerId: string, nowMs: number): void;
  /** Tells whether any backend server is ejected or on probation. */
  hasSuspects(): boolean;
  /**
   * Lists the backend servers of a pool that get no new work now.
   *
   * @param members - The pool's backend servers.
   * @returns Ids of backend servers, at most a limited share of the pool.
   */
  listEjected(members: PoolMembers): string[];
}

/** Baseline: ejects no backend server. */
export class NoHealthPolicy implements HealthPolicy {
  recordResult(): Ejection | undefined {
    return undefined;
  }

  recordStart(): void {}

  hasSuspects(): boolean {
    return false;
  }

  listEjected(): string[] {
    return [];
  }
}
