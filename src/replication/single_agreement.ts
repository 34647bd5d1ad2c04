/** Agreement of a deployment with one entry: durable here means accepted. */
import { Result } from "true-myth";
import {
  type AppliedValue,
  type Command,
  type Failure,
  FleetState,
} from "../domain/index.ts";
import type {
  Agreement,
  AgreementStatus,
  Clock,
  LogStore,
  StoredLog,
} from "../ports/index.ts";
import { Notifier } from "../tasks/index.ts";

const SINGLE_TERM = 1;

/** Options of {@link SingleAgreement}. */
export interface SingleAgreementOptions {
  readonly entryId: string;
  readonly store: LogStore;
  readonly clock: Clock;
}

/** Applies each command once it is synced to the local disk. */
export class SingleAgreement implements Agreement {
  readonly state: FleetState;
  readonly #options: SingleAgreementOptions;
  readonly #applied = new Notifier();
  readonly #loadedAtMs: number;
  #appliedIndex: number;
  #tail: Promise<unknown> = Promise.resolve();

  /**
   * @param options - Store and clock.
   * @param stored - What the store holds.
   */
  constructor(options: SingleAgreementOptions, stored: StoredLog) {
    this.#options = options;
    this.#loadedAtMs = options.clock.monotonicMs();
    this.state = stored.snapshot === undefined
      ? new FleetState()
      : FleetState.restore(stored.snapshot.state);
    this.#appliedIndex = stored.snapshot?.index ?? 0;
    for (const entry of stored.entries) {
      this.state.apply(entry.command);
      this.#appliedIndex = entry.index;
    }
  }

  /**
   * Loads the log and applies it.
   *
   * @param options - Store and clock.
   * @returns The agreement, or the failure of the store.
   */
  static async load(
    options: SingleAgreementOptions,
  ): Promise<Result<SingleAgreement, Failure>> {
    const stored = await options.store.load();
    return stored.map((log) => new SingleAgreement(options, log));
  }

  propose(command: Command): Promise<Result<AppliedValue, Failure>> {
    const proposed = this.#tail.then(() => this.#appendAndApply(command));
    this.#tail = proposed.catch(() => undefined);
    return proposed;
  }

  async follow(
    appliedIndex: number,
    signal: AbortSignal,
  ): Promise<AgreementStatus> {
    while (this.#appliedIndex <= appliedIndex && !signal.aborted) {
      await this.#applied.wait(signal);
    }
    return this.status();
  }

  status(): AgreementStatus {
    return {
      entryId: this.#options.entryId,
      leaderId: this.#options.entryId,
      term: SINGLE_TERM,
      leaderSinceMs: this.#loadedAtMs,
      appliedIndex: this.#appliedIndex,
      commitIndex: this.#appliedIndex,
      revision: this.state.revision,
      freshUntilMs: Infinity,
    };
  }

  async #appendAndApply(
    command: Command,
  ): Promise<Result<AppliedValue, Failure>> {
    const entry = { index: this.#appliedIndex + 1, term: SINGLE_TERM, command };
    const appended = await this.#options.store.append([entry]);
    if (appended.isErr) {
      return Result.err(appended.error);
    }
    this.#appliedIndex = entry.index;
    const applied = this.state.apply(command);
    this.#applied.notify();
    return applied;
  }
}
