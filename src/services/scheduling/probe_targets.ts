/** Chooses the controllers that are asked whether they lead. */
import * as v from "valibot";
import { type Failure, validateWith } from "../../domain/index.ts";

const hintSchema = v.object({
  leaderId: v.optional(v.string()),
  term: v.optional(v.number()),
});

/** The leader that another controller has named. */
export interface LeaderHint {
  readonly leaderId: string;
  /** Its term; 0 where it was not told. */
  readonly term: number;
}

/** The controllers, of which the one that another has named comes first. */
export class ProbeTargets {
  #seedIds: readonly string[];
  #controllerIds: readonly string[];
  /** The controller that another one has named as the leader. */
  #hintedId: string | undefined;
  /** The same, also after it was chosen. */
  #namedId: string | undefined;
  #chosenCount = 0;

  /**
   * Creates the list.
   *
   * @param seedIds - Ids of the controllers that the settings name.
   */
  constructor(seedIds: readonly string[]) {
    this.#seedIds = seedIds;
    this.#controllerIds = seedIds;
  }

  /** Sets the present controllers, in addition to those of the settings. */
  updateControllers(controllerIds: readonly string[]): void {
    this.#controllerIds = [...new Set([...this.#seedIds, ...controllerIds])];
  }

  /** Sets the controllers that the settings name. */
  replaceSeeds(seedIds: readonly string[]): void {
    this.#seedIds = seedIds;
    this.updateControllers(this.#controllerIds);
  }

  /**
   * Takes the hint of a controller that does not lead.
   *
   * @param target - The controller.
   * @param failure - Its failure.
   * @returns The leader that it named, if any.
   */
  noteHint(target: string, failure: Failure): LeaderHint | undefined {
    const hint = validateWith(hintSchema, failure.detail, { subject: "hint" });
    const { leaderId, term = 0 } = hint.isOk ? hint.value : {};
    const isHint = failure.kind === "notLeader" && leaderId !== target;
    if (!isHint || leaderId === undefined) {
      return undefined;
    }
    this.#hintedId = leaderId;
    this.#namedId = leaderId;
    return { leaderId, term };
  }

  /** Returns whether another controller has named this one last. */
  isNamed(controllerId: string): boolean {
    return this.#namedId === controllerId;
  }

  /**
   * Chooses the next controller.
   *
   * @param askedIds - Controllers that are not asked again yet.
   * @returns Its id; undefined when none is known.
   */
  choose(askedIds: ReadonlySet<string>): string | undefined {
    const hintedId = this.#hintedId;
    this.#hintedId = undefined;
    if (hintedId !== undefined && !askedIds.has(hintedId)) {
      return hintedId;
    }
    const ids = this.#controllerIds.filter((id) => !askedIds.has(id));
    this.#chosenCount += 1;
    return ids[this.#chosenCount % ids.length];
  }
}
