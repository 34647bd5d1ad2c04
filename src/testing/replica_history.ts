/** Checks the invariants of replication while a test runs replicas. */
import * as assert from "uvu/assert";
import { type Change, type Failure, findAnswer } from "../domain/index.ts";
import { FRESHNESS_LEASE_MS, type Replica } from "../replication/index.ts";
import {
  createChange,
  type FakeCluster,
  type FakeReplica,
} from "./fake_cluster.ts";

interface AcceptedChange {
  readonly revision: number;
  readonly atMs: number;
}

/** Delay before an operator sends a refused change again, in milliseconds. */
const RESEND_DELAY_MS = 100;

/** The changes that were proposed, accepted and applied in one test run. */
export class ReplicaHistory {
  readonly #cluster: FakeCluster;
  readonly #changes: Change[] = [];
  readonly #accepted = new Map<string, AcceptedChange>();
  readonly #operationByRevision = new Map<number, string>();
  readonly #stateByIndex = new Map<number, string>();
  readonly #leaderByTerm = new Map<number, string>();
  readonly #revisionOf = new Map<Replica, number>();
  readonly #readLineCounts = new Map<string, number>();
  /** Operations of which every answer said that they were not carried out. */
  readonly #refused = new Set<string>();
  readonly #sendCounts = new Map<string, number>();

  constructor(cluster: FakeCluster) {
    this.#cluster = cluster;
  }

  /** Number of accepted changes. */
  get acceptedCount(): number {
    return this.#accepted.size;
  }

  /**
   * Proposes a new change at an entry, if it runs, and does not wait for it.
   */
  propose(entryId: string): void {
    const replica = this.#cluster.find(entryId).replica;
    if (replica === undefined) {
      return;
    }
    void this.#send(replica, this.#createNext(replica));
  }

  /**
   * Sends a new change to one entry after the other until it is accepted, as an
   * operator does who gets no acknowledgement. After a conflict the change gets
   * the current revision and a new operation id.
   *
   * @param chooseEntryId - Chooses the entry of each attempt.
   * @returns Time until the change was accepted, in milliseconds.
   */
  async proposeUntilAccepted(chooseEntryId: () => string): Promise<number> {
    const { clock } = this.#cluster;
    const startedMs = clock.monotonicMs();
    let change: Change | undefined;
    for (;;) {
      const { replica } = this.#cluster.find(chooseEntryId());
      if (replica !== undefined) {
        change ??= this.#createNext(replica);
        const failure = await this.#send(replica, change);
        if (failure === undefined) {
          return clock.monotonicMs() - startedMs;
        }
        change = failure.kind === "conflict" ? undefined : change;
      }
      await clock.sleep(RESEND_DELAY_MS);
    }
  }

  /** Resends the latest change, as an operator does who got no answer. */
  resend(entryId: string): void {
    const replica = this.#cluster.find(entryId).replica;
    const change = this.#changes.at(-1);
    if (replica !== undefined && change !== undefined) {
      void this.#send(replica, change);
    }
  }

  /**
   * Checks the current state of all entries.
   *
   * @throws Error when an invariant is violated.
   */
  check(): void {
    for (const entry of this.#cluster.entries.values()) {
      this.#checkLeaders(entry);
      if (entry.replica !== undefined) {
        this.#checkReplica(entry, entry.replica);
      }
    }
    assert.equal(this.#cluster.fatalFailures, []);
  }

  /**
   * Checks that an entry has applied every accepted change.
   *
   * @param entryId - Id of a running entry.
   * @throws Error when a change is missing or has another revision.
   */
  checkComplete(entryId: string): void {
    const { state } = this.#cluster.replica(entryId);
    const known = new Map(
      state.toSnapshot().operations.map(({ operationId, accepted }) => [
        operationId,
        accepted.revision,
      ]),
    );
    for (const [operationId, { revision }] of this.#accepted) {
      assert.is(known.get(operationId), revision, `${operationId} is lost`);
    }
  }

  #createNext(replica: Replica): Change {
    const name = `zone-${this.#changes.length + 1}`;
    const { change } = createChange({ name }, replica.state.revision);
    this.#changes.push(change);
    return change;
  }

  async #send(replica: Replica, change: Change): Promise<Failure | undefined> {
    const { operationId } = change;
    this.#refused.delete(operationId);
    this.#sendCounts.set(
      operationId,
      (this.#sendCounts.get(operationId) ?? 0) + 1,
    );
    const proposed = await replica.propose({
      type: "change",
      change,
      operator: "tester",
      atMs: 0,
    });
    if (proposed.isErr) {
      this.#recordFailure(operationId, proposed.error);
      return proposed.error;
    }
    const { revision } = proposed.value;
    const first = this.#accepted.get(operationId);
    assert.is(
      first?.revision ?? revision,
      revision,
      "one change was accepted under two revisions",
    );
    const atMs = this.#cluster.clock.monotonicMs();
    this.#accepted.set(operationId, first ?? { revision, atMs });
    return undefined;
  }

  // A change that was sent once and refused as "not carried out" must not take
  // effect later. One that was sent again may be in doubt because of that.
  #recordFailure(operationId: string, failure: Failure): void {
    if (
      this.#sendCounts.get(operationId) === 1 && findAnswer(failure).notRun
    ) {
      this.#refused.add(operationId);
    }
  }

  #checkLeaders({ entryId, logger }: FakeReplica): void {
    const readCount = this.#readLineCounts.get(entryId) ?? 0;
    for (const { fields, message } of logger.lines.slice(readCount)) {
      if (message === "leads a new term") {
        const term = Number(fields["term"]);
        const known = this.#leaderByTerm.get(term) ?? entryId;
        assert.is(known, entryId, `term ${term} has two leaders`);
        this.#leaderByTerm.set(term, entryId);
      }
    }
    this.#readLineCounts.set(entryId, logger.lines.length);
  }

  #checkReplica({ entryId }: FakeReplica, replica: Replica): void {
    const { state } = replica;
    const status = replica.status();
    const previousRevision = this.#revisionOf.get(replica) ?? 0;
    assert.ok(
      state.revision >= previousRevision,
      `the revision of ${entryId} went back`,
    );
    this.#revisionOf.set(replica, state.revision);
    const { operations, membership } = state.toSnapshot();
    for (const { operationId, accepted } of operations) {
      const known = this.#operationByRevision.get(accepted.revision) ??
        operationId;
      assert.is(
        operationId,
        known,
        `two operations have revision ${accepted.revision}`,
      );
      this.#operationByRevision.set(accepted.revision, operationId);
      assert.not.ok(
        this.#refused.has(operationId),
        `${operationId} was refused, but ${entryId} has applied it`,
      );
    }
    const ids = operations.map(({ operationId }) => operationId);
    assert.is(new Set(ids).size, ids.length, "an operation was applied twice");
    assert.is(
      ids.length,
      state.revision,
      "the number of operations differs from the revision",
    );
    const digest = JSON.stringify([ids, membership]);
    const knownDigest = this.#stateByIndex.get(status.appliedIndex) ?? digest;
    assert.is(
      digest,
      knownDigest,
      `states differ at applied index ${status.appliedIndex}`,
    );
    this.#stateByIndex.set(status.appliedIndex, digest);
    this.#checkFresh(entryId, replica);
  }

  #checkFresh(entryId: string, replica: Replica): void {
    const nowMs = this.#cluster.clock.monotonicMs();
    const { freshUntilMs, revision } = replica.status();
    if (freshUntilMs <= nowMs) {
      return;
    }
    for (const accepted of this.#accepted.values()) {
      const mustBeVisible = accepted.atMs + FRESHNESS_LEASE_MS < nowMs;
      assert.ok(
        !mustBeVisible || accepted.revision <= revision,
        `${entryId} has a lease at revision ${revision}, but lacks accepted revision ${accepted.revision}`,
      );
    }
  }
}
