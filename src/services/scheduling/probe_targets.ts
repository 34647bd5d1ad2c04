/** Chooses the controllers that are asked whether they lead. */
import * as v from "valibot";
import { type Failure, validateWith } from "../../domain/index.ts";

const hintSchema = v.object({ leaderId: v.optional(v.string()) });

/** The controllers, of which the one that another has named comes first. */
export class ProbeTargets {
  #seedIds: readonly string[];
  #controllerIds: readonly string[];
  /** The controller that another one has named as the leader. */
  #hintedId: string | undefined;
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
   */
  noteHint(target: string, failure: Failure): void {
    const hint = validateWith(hintSchema, failure.detail, { subject: "hint" });
    const leaderId = hint.isOk ? hint.value.leaderId : undefined;
    if (failure.kind === "notLeader" && leaderId !== target) {
      this.#hintedId = leaderId ?? this.#hintedId;
    }
  }

  /** Chooses the next controller; undefined when none is known. */
  choose(): string | undefined {
    const hintedId = this.#hintedId;
    this.#hintedId = undefined;
    this.#chosenCount += hintedId === undefined ? 1 : 0;
    return hintedId ??
      this.#controllerIds[this.#chosenCount % this.#controllerIds.length];
  }
}
