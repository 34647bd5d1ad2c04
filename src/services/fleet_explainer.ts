/**
 * Explains requests and open decisions. Only the entry that handled them keeps
 * them, so the other entries are queried too.
 */
import { Result } from "true-myth";
import * as v from "valibot";
import {
  decisionRecordSchema,
  type Failure,
  validateWith,
} from "../domain/index.ts";
import type { PeerNetwork } from "../ports/index.ts";
import type { ExplainService, Explanation } from "./explain_service.ts";

const FIND_METHOD = "explain.find";
const FIND_TIMEOUT_MS = 1_000;
// Subjects that an entry keeps in memory only; all others are replicated.
const UNREPLICATED_KINDS = new Set(["request", "decision"]);

const findSchema = v.object({ subject: v.string() });
const foundSchema = v.object({
  subject: v.string(),
  summary: v.optional(v.string()),
  records: v.array(decisionRecordSchema),
});

/** Options of {@link FleetExplainer}. */
export interface FleetExplainerOptions {
  readonly local: ExplainService;
  readonly network: PeerNetwork;
  /** Ids of all other entries. */
  readonly peerIds: readonly string[];
}

/** Explains subjects from this entry first, then from all other entries. */
export class FleetExplainer {
  readonly #options: FleetExplainerOptions;

  constructor(options: FleetExplainerOptions) {
    this.#options = options;
    options.network.handle(
      FIND_METHOD,
      (_peerId, body) => Promise.resolve(this.#findLocally(body)),
    );
  }

  /**
   * Explains a subject.
   *
   * @param subject - Such as `vm/NAME`, `request/ID` or `decision/ID`.
   * @param sinceMs - Wall-clock time in milliseconds; older records of a resource
   * are left out.
   * @returns The decisions, newest first, or `notFound` when no reachable entry
   * knows the subject.
   */
  async explain(
    subject: string,
    sinceMs: number,
  ): Promise<Result<Explanation, Failure>> {
    const local = this.#options.local.explain(subject, sinceMs);
    const kind = subject.split("/")[0] ?? "";
    if (local.isOk || !UNREPLICATED_KINDS.has(kind)) {
      return local;
    }
    const answers = await Promise.all(
      this.#options.peerIds.map((peerId) =>
        this.#explainRemotely(peerId, subject)
      ),
    );
    return answers.find(({ isOk }) => isOk) ?? local;
  }

  async #explainRemotely(
    peerId: string,
    subject: string,
  ): Promise<Result<Explanation, Failure>> {
    const answered = await this.#options.network.call(
      peerId,
      FIND_METHOD,
      { subject },
      { timeoutMs: FIND_TIMEOUT_MS },
    );
    return answered
      .andThen((body) => validateWith(foundSchema, body, { subject: "answer" }))
      .map(({ records, summary }) => ({ subject, summary, records }));
  }

  #findLocally(body: unknown): Result<unknown, Failure> {
    return validateWith(findSchema, body, { subject: FIND_METHOD })
      .andThen(({ subject }) => this.#options.local.explain(subject));
  }
}
