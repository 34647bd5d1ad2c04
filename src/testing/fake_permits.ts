/**
 * A permit source of one fake entry, without a coordinator and without leases.
 */
import { Result } from "true-myth";
import { createFailure, type Failure } from "../domain/index.ts";
import type {
  BackendCandidate,
  BackendPicker,
  FleetIndexCache,
} from "../decisions/index.ts";
import type { Clock, Random } from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";
import type {
  BackendDirectory,
  Permit,
  PermitRequest,
  PermitSource,
} from "../services/index.ts";

/** Options of {@link FakePermitSource}. */
export interface FakePermitOptions {
  readonly clock: Clock;
  readonly directory: BackendDirectory;
  readonly fleet: FleetIndexCache;
  readonly picker: BackendPicker;
  readonly random: Random;
}

/** Grants permits by counting running attempts in this process only. */
export class FakePermitSource implements PermitSource {
  readonly #options: FakePermitOptions;
  readonly #runningByTeam = new Map<string, number>();
  readonly #usedByBackend = new Map<string, number>();
  readonly #released = new Notifier();

  constructor(options: FakePermitOptions) {
    this.#options = options;
  }

  async acquire(request: PermitRequest): Promise<Result<Permit, Failure>> {
    for (;;) {
      const attempt = this.#tryAcquire(request);
      if (attempt.isOk) {
        return attempt;
      }
      const leftMs = request.waitUntilMs - this.#options.clock.monotonicMs();
      if (request.signal.aborted) {
        return Result.err(
          createFailure(
            "cancelled",
            "the caller disconnected before the work started",
          ),
        );
      }
      if (leftMs <= 0) {
        return attempt;
      }
      await this.#waitForChange(leftMs, request.signal);
    }
  }

  #tryAcquire(request: PermitRequest): Result<Permit, Failure> {
    const { admission } = request;
    const running = this.#runningByTeam.get(admission.teamName) ?? 0;
    const limit = admission.team?.maxRunningCount ?? Infinity;
    if (running >= limit) {
      return Result.err(
        createFailure(
          "teamLimitReached",
          `team/${admission.teamName} has ${running} running, its upper limit is ${limit}`,
        ),
      );
    }
    for (const pool of admission.poolNames) {
      const candidates = this.#listCandidates(pool, request.excludedBackendIds);
      const chosen = this.#options.picker.pick(candidates);
      if (chosen !== undefined) {
        return Result.ok(this.#grant(request, chosen));
      }
    }
    return Result.err(
      createFailure(
        "noBackendServer",
        `no backend server of ${
          admission.poolNames.join(", ")
        } has a free slot`,
      ),
    );
  }

  #listCandidates(
    pool: string,
    excluded: ReadonlySet<string>,
  ): BackendCandidate[] {
    const index = this.#options.fleet.current();
    const candidates: BackendCandidate[] = [];
    for (const { announcement } of this.#options.directory.listServing()) {
      const vm = index.findVm(announcement.vm);
      const zone = vm?.vm.resource.zone ?? "";
      const used = this.#usedByBackend.get(announcement.backendServerId) ?? 0;
      const isOpen = vm?.pool === pool && vm.serving &&
        index.findZoneOut(zone) === undefined;
      if (
        isOpen && used < announcement.slotCount &&
        !excluded.has(announcement.backendServerId)
      ) {
        candidates.push({
          backendServerId: announcement.backendServerId,
          pool,
          zone,
          freeSlotCount: announcement.slotCount - used,
          slotCount: announcement.slotCount,
        });
      }
    }
    return candidates;
  }

  #grant(request: PermitRequest, chosen: BackendCandidate): Permit {
    const { admission } = request;
    const backend = this.#options.directory.find(chosen.backendServerId)
      ?.announcement;
    if (backend === undefined) {
      throw new Error(
        `backend server ${chosen.backendServerId} left the directory while a permit was granted`,
      );
    }
    const leaseMs = admission.queue.maxRunMs;
    addTo(this.#runningByTeam, admission.teamName, 1);
    addTo(this.#usedByBackend, chosen.backendServerId, 1);
    let isReleased = false;
    const freeSlot = () => {
      addTo(this.#runningByTeam, admission.teamName, -1);
      addTo(this.#usedByBackend, chosen.backendServerId, -1);
      this.#released.notify();
    };
    return {
      attemptId: this.#options.random.nextId(),
      backend,
      pool: chosen.pool,
      zone: chosen.zone,
      leaseMs,
      release: ({ ended }) => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        if (ended) {
          freeSlot();
        } else {
          void this.#options.clock.sleep(leaseMs).then(freeSlot);
        }
      },
    };
  }

  async #waitForChange(leftMs: number, signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const either = AbortSignal.any([signal, stop.signal]);
    await Promise.race([
      this.#released.wait(either),
      this.#options.directory.changed.wait(either),
      this.#options.clock.sleep(leftMs, either),
    ]);
    stop.abort();
  }
}

function addTo(counts: Map<string, number>, key: string, delta: number): void {
  const next = (counts.get(key) ?? 0) + delta;
  if (next === 0) {
    counts.delete(key);
  } else {
    counts.set(key, next);
  }
}
