/** Sends proposals of this entry to the current leader. */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  type AppliedValue,
  claimSchema,
  type Command,
  dropOldest,
  type Failure,
  validateWith,
} from "../domain/index.ts";
import { waitFor } from "../tasks/index.ts";
import { METHODS, proposalSchema } from "./messages.ts";
import {
  createNoQuorumFailure,
  type ProposalQueue,
  type ProposalResult,
} from "./proposal_queue.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  CALL_TIMEOUT_MS,
  MAX_KEPT_PROPOSALS,
  PROPOSE_TIMEOUT_MS,
  RETRY_DELAY_MS,
} from "./timing.ts";

const forwardedResponseSchema = v.object({
  revision: v.number(),
  claims: v.optional(v.array(claimSchema)),
  /** Index up to which the leader had applied the log. */
  appliedIndex: v.number(),
});

/** The leader's response to a forwarded proposal. */
type ForwardedResponse = v.InferOutput<typeof forwardedResponseSchema>;

/** Proposes commands at the leader, be it this replica or another one. */
export class Proposer {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;
  readonly #forwardedResults = new Map<string, Promise<ProposalResult>>();

  /**
   * @param core - The state of the replica.
   * @param queue - Accepts proposals while this replica leads.
   */
  constructor(core: ReplicaCore, queue: ProposalQueue) {
    this.#core = core;
    this.#queue = queue;
  }

  /**
   * Proposes a command, and retries while there is no leader, until
   * {@link PROPOSE_TIMEOUT_MS} have passed. It is also retried when the disk of
   * the leader, which then resigns, rejected it. A change is also retried after
   * `noQuorum`: its operation id keeps it from being applied twice.
   *
   * @param command - The command.
   * @param signal - Ends the wait.
   * @returns As defined by `Agreement.propose`.
   */
  async propose(
    command: Command,
    signal?: AbortSignal,
  ): Promise<ProposalResult> {
    const { clock, random } = this.#core.options;
    const deadlineMs = clock.monotonicMs() + PROPOSE_TIMEOUT_MS;
    const proposalId = random.nextId();
    let hasUnknownOutcome = false;
    for (;;) {
      const timeLeftMs = deadlineMs - clock.monotonicMs();
      const proposed = await raceWithAbort(
        this.#attempt(proposalId, command, timeLeftMs, signal),
        signal,
      );
      if (proposed.isOk) {
        return proposed;
      }
      const { kind } = proposed.error;
      hasUnknownOutcome ||= kind === "noQuorum";
      const isRefused = kind === "notLeader" || kind === "readOnly";
      const mayRetry = kind === "notLeader" ||
        (kind === "readOnly" && this.#hasOtherVoters) ||
        (kind === "noQuorum" && command.type === "change");
      const isOver = clock.monotonicMs() >= deadlineMs || signal?.aborted;
      if (!mayRetry || isOver) {
        return hasUnknownOutcome && isRefused
          ? Result.err(createNoQuorumFailure())
          : proposed;
      }
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Handles a proposal that another entry forwards.
   *
   * @param body - The message, not validated yet.
   * @returns The result of applying it; a duplicate message gets the same one.
   */
  async handleForwarded(
    body: unknown,
  ): Promise<Result<AppliedValue & { appliedIndex: number }, Failure>> {
    const proposal = validateWith(proposalSchema, body, {
      subject: "proposal",
    });
    if (proposal.isErr) {
      return Result.err(proposal.error);
    }
    if (this.#core.leadership === undefined) {
      return Result.err(this.#core.createNotLeaderFailure());
    }
    const { proposalId, command } = proposal.value;
    const existing = this.#forwardedResults.get(proposalId);
    const result = existing ?? this.#queue.propose(command);
    this.#forwardedResults.set(proposalId, result);
    dropOldest(this.#forwardedResults, MAX_KEPT_PROPOSALS);
    const proposed = await result;
    if (proposed.isErr) {
      this.#forwardedResults.delete(proposalId);
    }
    const { appliedIndex } = this.#core;
    return proposed.map((value) => ({ ...value, appliedIndex }));
  }

  get #hasOtherVoters(): boolean {
    const { log, self } = this.#core;
    return log.membership.voters.some(({ storeId }) =>
      storeId !== self.storeId
    );
  }

  async #attempt(
    proposalId: string,
    command: Command,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<ProposalResult> {
    const core = this.#core;
    await waitFor({
      clock: core.options.clock,
      notifier: core.changed,
      timeoutMs,
      signal,
      isMet: () => core.leaderId !== undefined,
    });
    const { leaderId } = core;
    if (core.leadership !== undefined) {
      return await this.#queue.propose(command);
    }
    return leaderId === undefined
      ? Result.err(core.createNotLeaderFailure())
      : await this.#forward(leaderId, { proposalId, command }, timeoutMs);
  }

  async #forward(
    leaderId: string,
    proposal: v.InferOutput<typeof proposalSchema>,
    timeoutMs: number,
  ): Promise<ProposalResult> {
    const { options, leaderSignal } = this.#core;
    const reply = await options.network.call(
      leaderId,
      METHODS.propose,
      proposal,
      { timeoutMs, signal: leaderSignal },
    );
    if (reply.isErr) {
      return Result.err(toProposalFailure(reply.error));
    }
    const response = validateWith(forwardedResponseSchema, reply.value, {
      subject: "proposal response",
      kind: "noQuorum",
    });
    if (response.isOk) {
      await this.#waitUntilApplied(response.value.appliedIndex);
    }
    return response.map(toAppliedValue);
  }

  // A caller must find its change on the entry at which it proposed it. After the
  // timeout the proposal counts as accepted all the same.
  async #waitUntilApplied(index: number): Promise<void> {
    const core = this.#core;
    await waitFor({
      clock: core.options.clock,
      notifier: core.changed,
      timeoutMs: CALL_TIMEOUT_MS,
      signal: core.stopSignal,
      isMet: () => core.appliedIndex >= index,
    });
  }
}

/**
 * Stops waiting, with `noQuorum`, when the signal aborts; the proposal itself
 * continues.
 */
async function raceWithAbort(
  attempt: Promise<ProposalResult>,
  signal: AbortSignal | undefined,
): Promise<ProposalResult> {
  if (signal === undefined) {
    return await attempt;
  }
  let resolveAborted = () => {};
  const aborted = new Promise<ProposalResult>((resolve) => {
    resolveAborted = () => resolve(Result.err(createNoQuorumFailure()));
  });
  signal.addEventListener("abort", resolveAborted, { once: true });
  const proposed = await Promise.race([attempt, aborted]);
  signal.removeEventListener("abort", resolveAborted);
  return proposed;
}

function toAppliedValue({ revision, claims }: ForwardedResponse): AppliedValue {
  return claims === undefined ? { revision } : { revision, claims };
}

// Without a response, the leader may still have accepted the proposal.
function toProposalFailure(failure: Failure): Failure {
  return failure.kind === "peerUnreachable" || failure.kind === "internal"
    ? { ...createNoQuorumFailure(), message: failure.message }
    : failure;
}
