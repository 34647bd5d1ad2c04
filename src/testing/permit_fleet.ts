/** A small fleet that runs the real permit classes over fakes. */
import type { Result } from "true-myth";
import * as v from "valibot";
import {
  type BackendPicker,
  FleetIndexCache,
  type ShareAllocator,
  TwoChoicesPicker,
  WeightedMaxMinAllocator,
} from "../decisions/index.ts";
import {
  type Failure,
  type FleetState,
  resourceSchema,
} from "../domain/index.ts";
import type { Clock, Random } from "../ports/index.ts";
import {
  BackendDirectory,
  FleetPermitSource,
  type Permit,
  PermitCoordinator,
  PermitReporter,
} from "../services/index.ts";
import { TaskGroup } from "../tasks/index.ts";
import { FakeLeadership } from "./fake_leadership.ts";
import { RecordingBackend } from "./recording_backend.ts";
import type { FakeNetwork } from "./fake_network.ts";
import { FakeLogger } from "./fake_ports.ts";

const NETWORK_DELAY_MS = 1;

/** One entry of the fleet. */
export interface FleetEntry {
  readonly entryId: string;
  readonly directory: BackendDirectory;
  readonly source: FleetPermitSource;
  readonly coordinator: PermitCoordinator;
  readonly tasks: TaskGroup;
  isAlive: boolean;
}

/** Result of one simulated request; `lost` when its entry was killed. */
export type SimulatedResult = "ran" | "refused" | "cancelled" | "lost";

/** One simulated request of a team to a queue. */
export interface SimulatedRequest {
  readonly team: string;
  readonly queue: string;
  readonly workMs: number;
  readonly maxWaitMs?: number;
  /** Time after the start at which the caller disconnects, in milliseconds. */
  readonly cancelAfterMs?: number;
  readonly signal?: AbortSignal;
}

/** Options of {@link PermitFleet}. */
export interface PermitFleetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly state: FleetState;
  readonly entryIds: readonly string[];
  readonly allocator?: ShareAllocator;
  readonly picker?: BackendPicker;
}

/** Entries with permit coordinators, and recording backend servers. */
export class PermitFleet {
  readonly agreement: FakeLeadership;
  readonly entries = new Map<string, FleetEntry>();
  readonly backends = new Map<string, RecordingBackend>();
  readonly #options: PermitFleetOptions;

  constructor(options: PermitFleetOptions) {
    this.#options = options;
    this.agreement = new FakeLeadership(options);
    options.entryIds.forEach((entryId) => this.startEntry(entryId));
  }

  /** Starts an entry, or restarts it after it was killed. */
  startEntry(entryId: string): FleetEntry {
    const { clock, random, network, allocator, picker, entryIds } =
      this.#options;
    const tasks = new TaskGroup({ clock, logger: new FakeLogger() });
    const agreement = this.agreement.join(entryId);
    const fleet = new FleetIndexCache(() => agreement.state);
    const shared = {
      entryId,
      agreement,
      clock,
      random,
      fleet,
      tasks,
      logger: new FakeLogger(),
      network: network.join(entryId),
      directory: new BackendDirectory(clock),
    };
    const source = new FleetPermitSource(shared);
    const coordinator = new PermitCoordinator({
      ...shared,
      entryIds,
      allocator: allocator ?? new WeightedMaxMinAllocator(),
      picker: picker ?? new TwoChoicesPicker(random),
      pushToSelf: (push) => source.handleGrants(push),
    });
    const reporter = new PermitReporter({ ...shared, source, coordinator });
    const { directory } = shared;
    tasks.startForever("sweep", (signal) => coordinator.run(signal));
    tasks.startForever("reports", (signal) => reporter.run(signal));
    const entry: FleetEntry = {
      entryId,
      directory,
      source,
      coordinator,
      tasks,
      isAlive: true,
    };
    this.entries.set(entryId, entry);
    return entry;
  }

  /** Kills an entry; attempts that it started continue to run. */
  killEntry(entryId: string): void {
    const entry = this.entries.get(entryId);
    if (entry !== undefined) {
      entry.isAlive = false;
      this.#options.network.leave(entryId);
      this.agreement.leave(entryId);
      void entry.tasks.stop();
    }
  }

  /**
   * Adds a backend server; each announcement goes to a random running entry.
   */
  addBackend(backend: RecordingBackend): void {
    this.backends.set(backend.announcement.backendServerId, backend);
    void backend.announceForever((announcement) => {
      const alive = [...this.entries.values()].filter(({ isAlive }) => isAlive);
      const at = this.#options.random.nextInt(Math.max(1, alive.length));
      alive[at]?.directory.accept(announcement);
    });
  }

  /** Counts the attempts that run for a team on all backend servers. */
  countRunning(team: string): number {
    let runningCount = 0;
    for (const backend of this.backends.values()) {
      runningCount += backend.countRunning(team);
    }
    return runningCount;
  }

  /**
   * Requests a permit at an entry.
   *
   * @param entryId - Id of a running entry.
   * @param request - Team and queue.
   * @returns The permit, or the reason why none was granted.
   * @throws Error when the entry does not exist.
   */
  async acquire(
    entryId: string,
    request: SimulatedRequest,
  ): Promise<Result<Permit, Failure>> {
    const { clock, state } = this.#options;
    const entry = this.entries.get(entryId);
    if (entry === undefined) {
      throw new Error(`${entryId} is not an entry of the fleet`);
    }
    const index = new FleetIndexCache(() => state).current();
    return await entry.source.acquire({
      admission: createAdmission(index, request),
      excludedBackendIds: new Set(),
      waitUntilMs: clock.monotonicMs() + (request.maxWaitMs ?? 2_000),
      signal: request.signal ?? new AbortController().signal,
    });
  }

  /**
   * Simulates one request at an entry.
   *
   * @param entryId - Id of the entry that receives it.
   * @param request - Team, queue and run time.
   * @returns The result of the request.
   */
  async request(
    entryId: string,
    request: SimulatedRequest,
  ): Promise<SimulatedResult> {
    const { clock } = this.#options;
    const entry = this.entries.get(entryId);
    if (!entry?.isAlive) {
      return "lost";
    }
    const permit = await this.acquire(entryId, request);
    if (permit.isErr) {
      return "refused";
    }
    await clock.sleep(NETWORK_DELAY_MS);
    const running = this.#run(permit.value, request);
    const isCancelled = request.cancelAfterMs !== undefined;
    await (isCancelled ? clock.sleep(request.cancelAfterMs) : running);
    await clock.sleep(NETWORK_DELAY_MS);
    if (!entry.isAlive) {
      return "lost";
    }
    permit.value.release({ ended: !isCancelled, healthy: undefined });
    return isCancelled ? "cancelled" : "ran";
  }

  async #run(
    permit: Permit,
    { team, workMs }: SimulatedRequest,
  ): Promise<void> {
    const { backend, attemptId, leaseMs } = permit;
    const server = this.backends.get(backend.backendServerId);
    await server?.run({ attemptId, team, workMs, leaseMs });
  }
}

function createAdmission(
  index: ReturnType<FleetIndexCache["current"]>,
  request: SimulatedRequest,
) {
  const queue = index.findQueue(request.queue)?.resource;
  if (queue === undefined) {
    throw new Error(`queue/${request.queue} does not exist`);
  }
  return {
    team: index.findTeam(request.team)?.resource,
    teamName: request.team,
    queue,
    poolNames: index.listPools(queue).map(({ resource }) => resource.name),
    causes: [],
  };
}

/**
 * Puts resources into a state by one change.
 *
 * @param state - The state to change.
 * @param resources - The resources; the schema fills in defaults.
 * @throws Error when the change is refused.
 */
export function putResources(
  state: FleetState,
  resources: readonly unknown[],
): void {
  const applied = state.apply({
    type: "change",
    change: {
      operationId: `operation-${state.revision}`,
      expectedRevision: state.revision,
      puts: resources.map((resource) => v.parse(resourceSchema, resource)),
      deletes: [],
    },
    operator: "test",
    atMs: 0,
  });
  if (applied.isErr) {
    throw new Error(applied.error.message);
  }
}
