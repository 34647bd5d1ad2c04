/** Carries proposals of this entry to whoever leads. */
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
  createNoQuorum,
  type ProposalQueue,
  type Proposed,
} from "./proposal_queue.ts";
import type { ReplicaCore } from "./replica_core.ts";
import {
  CALL_TIMEOUT_MS,
  MAX_KEPT_PROPOSALS,
  PROPOSE_TIMEOUT_MS,
  RETRY_DELAY_MS,
} from "./timing.ts";

const forwardedAnswerSchema = v.object({
  revision: v.number(),
  claims: v.optional(v.array(claimSchema)),
  /** Index up to which the leader had applied the log. */
  appliedIndex: v.number(),
});

/** The leader's answer to a forwarded proposal. */
type ForwardedAnswer = v.InferOutput<typeof forwardedAnswerSchema>;

/** Proposes at the leader, here or elsewhere. */
export class Proposer {
  readonly #core: ReplicaCore;
  readonly #queue: ProposalQueue;
  readonly #answers = new Map<string, Promise<Proposed>>();

  /**
   * @param core - The replica.
   * @param queue - Takes proposals while this replica leads.
   */
  constructor(core: ReplicaCore, queue: ProposalQueue) {
    this.#core = core;
    this.#queue = queue;
  }

  /**
   * Proposes a command until it is accepted, refused, in doubt or too late.
   *
   * @param command - The command.
   * @param signal - Ends the wait.
   * @returns As the agreement port says.
   */
  async propose(command: Command, signal?: AbortSignal): Promise<Proposed> {
    const { clock, random } = this.#core.options;
    const deadlineMs = clock.monotonicMs() + PROPOSE_TIMEOUT_MS;
    const proposalId = random.nextId();
    let isInDoubt = false;
    for (;;) {
      const leftMs = deadlineMs - clock.monotonicMs();
      const proposed = await endOnAbort(
        this.#attempt(proposalId, command, leftMs, signal),
        signal,
      );
      if (proposed.isOk) {
        return proposed;
      }
      const { kind } = proposed.error;
      isInDoubt ||= kind === "noQuorum";
      const mayRetry = kind === "notLeader" ||
        (kind === "noQuorum" && command.type === "change");
      const isOver = clock.monotonicMs() >= deadlineMs || signal?.aborted;
      if (!mayRetry || isOver) {
        return isInDoubt && kind === "notLeader"
          ? Result.err(createNoQuorum())
          : proposed;
      }
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /**
   * Takes a proposal that another entry forwards.
   *
   * @param body - The message, not validated yet.
   * @returns What applying it led to; the same again for a doubled message.
   */
  async takeForwarded(
    body: unknown,
  ): Promise<Result<AppliedValue & { appliedIndex: number }, Failure>> {
    const proposal = validateWith(proposalSchema, body, {
      subject: "proposal",
    });
    if (proposal.isErr) {
      return Result.err(proposal.error);
    }
    if (this.#core.leadership === undefined) {
      return Result.err(this.#core.createNotLeader());
    }
    const { proposalId, command } = proposal.value;
    const known = this.#answers.get(proposalId);
    const answer = known ?? this.#queue.propose(command);
    this.#answers.set(proposalId, answer);
    dropOldest(this.#answers, MAX_KEPT_PROPOSALS);
    const proposed = await answer;
    if (proposed.isErr) {
      this.#answers.delete(proposalId);
    }
    const { appliedIndex } = this.#core;
    return proposed.map((value) => ({ ...value, appliedIndex }));
  }

  async #attempt(
    proposalId: string,
    command: Command,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Proposed> {
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
      ? Result.err(core.createNotLeader())
      : await this.#forward(leaderId, { proposalId, command }, timeoutMs);
  }

  async #forward(
    leaderId: string,
    proposal: v.InferOutput<typeof proposalSchema>,
    timeoutMs: number,
  ): Promise<Proposed> {
    const { options, leaderSignal } = this.#core;
    const answered = await options.network.call(
      leaderId,
      METHODS.propose,
      proposal,
      { timeoutMs, signal: leaderSignal },
    );
    if (answered.isErr) {
      return Result.err(toProposalFailure(answered.error));
    }
    const answer = validateWith(forwardedAnswerSchema, answered.value, {
      subject: "answer to a proposal",
      kind: "noQuorum",
    });
    if (answer.isOk) {
      await this.#waitUntilApplied(answer.value.appliedIndex);
    }
    return answer.map(toAppliedValue);
  }

  // Who proposed here must find the outcome here; it is accepted in any case.
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

/** Gives up the wait, not the proposal, when the signal aborts. */
async function endOnAbort(
  attempt: Promise<Proposed>,
  signal: AbortSignal | undefined,
): Promise<Proposed> {
  if (signal === undefined) {
    return await attempt;
  }
  let end = () => {};
  const aborted = new Promise<Proposed>((resolve) => {
    end = () => resolve(Result.err(createNoQuorum()));
  });
  signal.addEventListener("abort", end, { once: true });
  const proposed = await Promise.race([attempt, aborted]);
  signal.removeEventListener("abort", end);
  return proposed;
}

function toAppliedValue({ revision, claims }: ForwardedAnswer): AppliedValue {
  return claims === undefined ? { revision } : { revision, claims };
}

// Without an answer the leader may have accepted the proposal all the same.
function toProposalFailure(failure: Failure): Failure {
  return failure.kind === "peerUnreachable" || failure.kind === "internal"
    ? { ...createNoQuorum(), message: failure.message }
    : failure;
}
