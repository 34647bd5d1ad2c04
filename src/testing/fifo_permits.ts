/** Grants permits of one fake backend server in the order of the requests. */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type { Clock } from "../ports/index.ts";
import type { Permit, PermitRequest, PermitSource } from "../services/index.ts";

const LEASE_MS = 5_000;

interface Waiter {
  readonly grant: () => void;
}

/** Grants a fixed number of permits at once, first come, first served. */
export class FifoPermitSource implements PermitSource {
  readonly #clock: Clock;
  #freeCount: number;
  #sequence = 0;
  readonly #waiters = new Set<Waiter>();

  /**
   * Creates the source.
   *
   * @param clock - Clock for the maximum wait of each request.
   * @param slotCount - Maximum number of permits that are granted at once.
   */
  constructor(clock: Clock, slotCount: number) {
    this.#clock = clock;
    this.#freeCount = slotCount;
  }

  async acquire(request: PermitRequest): Promise<Result<Permit, Failure>> {
    if (this.#freeCount > 0) {
      this.#freeCount -= 1;
      return Result.ok(this.#createPermit());
    }
    const stop = new AbortController();
    const leftMs = request.waitUntilMs - this.#clock.monotonicMs();
    const isGranted = await new Promise<boolean>((resolve) => {
      const waiter = { grant: () => resolve(true) };
      const stopWaiting = () => {
        this.#waiters.delete(waiter);
        resolve(false);
      };
      this.#waiters.add(waiter);
      request.signal.addEventListener("abort", stopWaiting, { once: true });
      void this.#clock.sleep(leftMs, stop.signal).then(stopWaiting);
    });
    stop.abort();
    return isGranted
      ? Result.ok(this.#createPermit())
      : Result.err(createFailure("noBackendServer", "no slot is free"));
  }

  #createPermit(): Permit {
    this.#sequence += 1;
    let isReleased = false;
    return {
      attemptId: `attempt-${this.#sequence}`,
      backend: {
        backendServerId: "server-1",
        sequence: 1,
        vm: "vm-1",
        host: "127.0.0.1",
        port: 1,
        slotCount: 1,
        connectionCount: 64,
        leaving: false,
        running: [],
      },
      pool: "pool-1",
      zone: "zone-1",
      leaseMs: LEASE_MS,
      release: () => {
        if (!isReleased) {
          isReleased = true;
          this.#grantNext();
        }
      },
    };
  }

  #grantNext(): void {
    const [next] = this.#waiters;
    if (next === undefined) {
      this.#freeCount += 1;
      return;
    }
    this.#waiters.delete(next);
    next.grant();
  }
}
