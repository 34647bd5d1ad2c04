/** Changes that a measurement makes, and which of them every entry must keep. */
import { randomUUID } from "node:crypto";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Deployment } from "../stand_ins/index.ts";

const RETRY_INTERVAL_MS = 20;
const REGION = "region-1";

/** A change that was accepted. */
export interface AcceptedEntry {
  readonly name: string;
  readonly revision: number;
  readonly sentAtMs: number;
  readonly acceptedAtMs: number;
}

/** Makes changes one after another; each declares a zone with a name of its own. */
export class ChangeLog {
  readonly accepted: AcceptedEntry[] = [];
  readonly #deployment: Deployment;
  readonly #clock = new SystemClock();
  #revision = 0;
  #nextNumber = 1;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /**
   * Makes one change, resending the same operation until it is accepted.
   *
   * @param urls - Entries to ask, in turn.
   * @returns The accepted change.
   */
  async makeChange(urls: readonly string[]): Promise<AcceptedEntry> {
    const name = `change-${this.#nextNumber}`;
    this.#nextNumber += 1;
    const operationId = randomUUID();
    const sentAtMs = this.#clock.monotonicMs();
    for (let at = 0;; at += 1) {
      const url = urls[at % urls.length] ?? "";
      const revision = await this.#send(url, name, operationId);
      if (revision !== undefined) {
        const acceptedAtMs = this.#clock.monotonicMs();
        const entry = { name, revision, sentAtMs, acceptedAtMs };
        this.accepted.push(entry);
        return entry;
      }
      await this.#clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  /**
   * Counts accepted changes that an entry does not show.
   *
   * @param urls - The entries.
   * @returns Changes missing on at least one of them.
   */
  async countLost(urls: readonly string[]): Promise<number> {
    const { operator } = this.#deployment;
    const shown = await Promise.all(
      urls.map((url) => operator.listNames("zone", url)),
    );
    return this.accepted.filter(({ name }) =>
      shown.some((names) => !names.has(name))
    ).length;
  }

  async #send(
    url: string,
    name: string,
    operationId: string,
  ): Promise<number | undefined> {
    const { operator } = this.#deployment;
    const sent = await operator.tryChange(url, {
      operationId,
      expectedRevision: this.#revision,
      puts: [{ kind: "zone", name, region: REGION, labels: {} }],
      deletes: [],
    });
    if (sent.isOk) {
      this.#revision = sent.value;
      return sent.value;
    }
    if (sent.error.kind === "conflict") {
      const status = await operator.readStatus(url);
      this.#revision = status.isOk ? status.value.revision : this.#revision;
    }
    return undefined;
  }
}
