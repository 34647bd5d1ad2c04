/** Results of attempts as evidence on the health of backend servers. */

/** The result of one attempt. */
export interface AttemptResult {
  readonly backendServerId: string;
  readonly pool: string;
  /** Whether the backend server did what is expected of a healthy one. */
  readonly healthy: boolean;
  /** Tells equal work apart: queue, path and content. */
  readonly fingerprint: string;
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
}

/** A backend server that was taken out, with the figures behind it. */
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

/** A way of taking backend servers out by evidence. */
export interface HealthPolicy {
  /**
   * Takes in the result of an attempt.
   *
   * @param result - The result.
   * @returns The ejection that it led to, or undefined.
   */
  recordResult(result: AttemptResult): Ejection | undefined;
  /**
   * Notes that an attempt goes to a backend server.
   *
   * @param backendServerId - Id of the backend server.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordStart(backendServerId: string, nowMs: number): void;
  /** Tells whether any backend server is out or on probation. */
  hasSuspects(): boolean;
  /**
   * Lists the backend servers of a pool that get no new work now.
   *
   * @param members - The pool's backend servers.
   * @returns Never more than a bounded part of them.
   */
  listEjected(members: PoolMembers): string[];
}

/** Baseline: takes nothing out. */
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
