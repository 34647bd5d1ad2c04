/** Runs real replicas over a fake clock, network and file systems. */
import type { Result } from "true-myth";
import { FileLogStore, MemoryLogStore } from "../adapters/disk/index.ts";
import { SeededRandom } from "../adapters/random/index.ts";
import type { AppliedValue, Change, Failure } from "../domain/index.ts";
import {
  MajorityCommitRule,
  Replica,
  type ReplicaOptions,
} from "../replication/index.ts";
import { TaskGroup } from "../tasks/index.ts";
import { FakeClock } from "./fake_clock.ts";
import { FakeFileSystem } from "./fake_file_system.ts";
import { FakeNetwork } from "./fake_network.ts";
import { FakeLogger } from "./fake_ports.ts";
import { PausableClock } from "./pausable_clock.ts";

const WAIT_TIMEOUT_MS = 60_000;
const STEP_MS = 50;

/** Options of {@link FakeCluster}. */
export interface FakeClusterOptions {
  readonly seed: number;
  /** Entries that are voters from the start. */
  readonly voterIds: readonly string[];
  /** Entries without a disk. */
  readonly observerIds?: readonly string[];
  /** Entries with a disk that can be added as voters later. */
  readonly spareIds?: readonly string[];
  /** Options of every replica that differ from the defaults. */
  readonly replica?: Partial<
    Pick<
      ReplicaOptions,
      "admitsMembers" | "snapshotIntervalCount" | "trailingEntryCount"
    >
  >;
}

/** One entry of the cluster; its disk survives a restart of its process. */
export interface FakeReplica {
  readonly entryId: string;
  readonly disk: FakeFileSystem;
  readonly logger: FakeLogger;
  /** Store id of the data folder at the last start; empty after `wipe`. */
  storeId: string;
  clock: PausableClock;
  replica: Replica | undefined;
  tasks: TaskGroup | undefined;
}

/** Entries whose processes, disks and links a test can fail and restore. */
export class FakeCluster {
  readonly clock = new FakeClock();
  readonly network: FakeNetwork;
  readonly entries = new Map<string, FakeReplica>();
  /** Failures after which an entry would end its process. */
  readonly fatalFailures: Failure[] = [];
  readonly #options: FakeClusterOptions;
  readonly #random: SeededRandom;

  constructor(options: FakeClusterOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.clock, this.#random);
  }

  /** Ids of all entries. */
  get entryIds(): readonly string[] {
    const { voterIds, observerIds = [], spareIds = [] } = this.#options;
    return [...voterIds, ...spareIds, ...observerIds];
  }

  /** Starts all entries. */
  async start(): Promise<void> {
    for (const entryId of this.entryIds) {
      await this.startEntry(entryId);
    }
  }

  /**
   * Starts an entry from the content of its disk.
   *
   * @param entryId - Id of the entry.
   * @param mayBootstrap - Whether it may bootstrap a new deployment.
   * @returns The failure to load its disk, or undefined when it has started.
   */
  async startEntry(
    entryId: string,
    mayBootstrap = true,
  ): Promise<Failure | undefined> {
    const entry = this.#findOrCreate(entryId);
    const { voterIds, observerIds = [] } = this.#options;
    const { logger } = entry;
    entry.clock = new PausableClock(this.clock);
    const { clock } = entry;
    const hasDisk = !observerIds.includes(entryId);
    const random = new SeededRandom(this.#random.nextInt(1_000_000_000));
    const store = hasDisk
      ? new FileLogStore({
        files: entry.disk.mount(),
        logger,
        random,
        onSyncFailure: (failure) => this.fatalFailures.push(failure),
      })
      : new MemoryLogStore(random);
    const stored = await store.load();
    if (stored.isErr) {
      this.network.leave(entryId);
      return stored.error;
    }
    entry.storeId = stored.value.vote.storeId;
    entry.replica = new Replica({
      entryId,
      hasDisk,
      mayBootstrap,
      wantsVote: hasDisk,
      peerIds: this.entryIds.filter((other) => other !== entryId),
      initialVoterIds: voterIds,
      commitRule: new MajorityCommitRule(),
      store,
      network: this.network.join(entryId),
      clock,
      random,
      logger,
      ...this.#options.replica,
    }, stored.value);
    entry.tasks = new TaskGroup({ clock, logger });
    entry.replica.start(entry.tasks);
    return undefined;
  }

  /**
   * Crashes an entry's process, which loses unsynced data of its disk.
   *
   * @param entryId - Id of the entry.
   * @param keptBytes - Number of unsynced appended bytes in each file that
   * reached the disk anyway.
   */
  crash(entryId: string, keptBytes = 0): void {
    this.#stop(entryId).disk.crash(keptBytes);
  }

  /**
   * Stops an entry by a loss of power, after which each unsynced write of its
   * disk is kept, lost or torn.
   *
   * @param entryId - Id of the entry.
   */
  losePower(entryId: string): void {
    this.#stop(entryId).disk.losePower(this.#random);
  }

  /** Pauses an entry's process, as a stalled VM does. */
  pause(entryId: string): void {
    this.network.pause(entryId);
    this.find(entryId).clock.pause();
  }

  /** Suspends an entry's VM, whose steady clock stands still meanwhile. */
  suspend(entryId: string): void {
    this.network.pause(entryId);
    this.find(entryId).clock.suspend();
  }

  /** Resumes an entry's paused process or suspended VM. */
  resume(entryId: string): void {
    this.network.resume(entryId);
    this.find(entryId).clock.resume();
  }

  /** Crashes an entry's process and deletes its data folder. */
  wipe(entryId: string): void {
    this.crash(entryId);
    const entry = this.find(entryId);
    entry.disk.replaceDisk();
    entry.storeId = "";
  }

  /**
   * Finds an entry.
   *
   * @param entryId - Id of the entry.
   * @returns The entry.
   * @throws Error when it has never been started.
   */
  find(entryId: string): FakeReplica {
    const entry = this.entries.get(entryId);
    if (entry === undefined) {
      throw new Error(`there is no entry ${entryId}`);
    }
    return entry;
  }

  /**
   * Finds the replica of a running entry.
   *
   * @param entryId - Id of the entry.
   * @returns The replica.
   * @throws Error when the entry is not running.
   */
  replica(entryId: string): Replica {
    const { replica } = this.find(entryId);
    if (replica === undefined) {
      throw new Error(`entry ${entryId} is not running`);
    }
    return replica;
  }

  /** Lists the ids of running entries that consider themselves the leader. */
  listLeaders(): string[] {
    return [...this.entries.values()]
      .filter(({ replica }) => replica?.status().leaderSinceMs !== undefined)
      .map(({ entryId }) => entryId);
  }

  /**
   * Advances time until an entry leads with a confirmed quorum.
   *
   * @returns Id of the leader.
   * @throws Error when no entry leads in time.
   */
  async waitForLeader(): Promise<string> {
    return await this.waitFor(
      () => this.listLeaders()[0],
      "an entry leads",
    );
  }

  /**
   * Advances time until a function returns a value.
   *
   * @param find - Returns the value, or undefined while there is none.
   * @param what - Condition that is waited for; part of the error message.
   * @returns The value.
   * @throws Error when there is no value in time.
   */
  async waitFor<T>(find: () => T | undefined, what: string): Promise<T> {
    for (let waitedMs = 0; waitedMs < WAIT_TIMEOUT_MS; waitedMs += STEP_MS) {
      const found = find();
      if (found !== undefined) {
        return found;
      }
      await this.clock.advance(STEP_MS);
    }
    throw new Error(
      `timed out after ${WAIT_TIMEOUT_MS} ms while waiting until ${what}`,
    );
  }

  /**
   * Proposes a change that puts one zone.
   *
   * @param entryId - Id of the entry that proposes it.
   * @param change - Name of the zone, and overrides of the defaults.
   * @returns The result of the proposal.
   */
  async propose(
    entryId: string,
    change: Partial<Change> & { readonly name: string },
  ): Promise<Result<AppliedValue, Failure>> {
    const replica = this.replica(entryId);
    return await this.clock.runUntil(
      replica.propose(createChange(change, replica.state.revision)),
      WAIT_TIMEOUT_MS,
    );
  }

  #stop(entryId: string): FakeReplica {
    const entry = this.find(entryId);
    this.resume(entryId);
    this.network.leave(entryId);
    void entry.tasks?.stop();
    entry.replica = undefined;
    entry.tasks = undefined;
    return entry;
  }

  #findOrCreate(entryId: string): FakeReplica {
    const known = this.entries.get(entryId) ?? {
      entryId,
      disk: new FakeFileSystem(),
      logger: new FakeLogger(),
      storeId: "",
      clock: new PausableClock(this.clock),
      replica: undefined,
      tasks: undefined,
    };
    this.entries.set(entryId, known);
    return known;
  }
}

/**
 * Creates a change that puts one zone.
 *
 * @param change - Name of the zone, and overrides of the defaults.
 * @param revision - Expected revision, unless `change` has one.
 * @returns The command.
 */
export function createChange(
  change: Partial<Change> & { readonly name: string },
  revision: number,
): { type: "change"; change: Change; operator: string; atMs: number } {
  const { name, ...rest } = change;
  return {
    type: "change",
    operator: "tester",
    atMs: 0,
    change: {
      operationId: `operation-${name}`,
      expectedRevision: revision,
      puts: [{ kind: "zone", name, labels: {}, region: "region-1" }],
      deletes: [],
      ...rest,
    },
  };
}
