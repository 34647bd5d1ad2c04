/** Runs whose start the log does not show as confirmed by their runner. */
import * as v from "valibot";
import { formatTaskId, taskIdSchema } from "./job.ts";

/** Schema of {@link StartName}. */
export const startNameSchema = v.object({
  task: taskIdSchema,
  runNumber: v.number(),
});

/** Identifies the start of one run of a task. */
export type StartName = v.InferOutput<typeof startNameSchema>;

/** Schema of {@link StartConfirmation}. */
export const startConfirmationSchema = v.object({
  /** The newest start that is confirmed. */
  through: startNameSchema,
  /** Earlier starts that are not confirmed. */
  open: v.array(startNameSchema),
});

/** Confirmation of all unconfirmed starts up to one of them. */
export type StartConfirmation = v.InferOutput<typeof startConfirmationSchema>;

/**
 * Starts in the order in which the log recorded them. The start request of an
 * unconfirmed one may have reached a successor of the runner.
 */
export class UnconfirmedStarts {
  /** Oldest first. */
  readonly #starts = new Map<string, StartName>();

  /** Adds a start that has just been recorded. */
  add({ task, runNumber }: StartName): void {
    this.#starts.set(formatStart({ task, runNumber }), { task, runNumber });
  }

  /** Removes a start whose run has ended. */
  delete(start: StartName): void {
    this.#starts.delete(formatStart(start));
  }

  /** Whether a start is recorded and not confirmed. */
  has(start: StartName): boolean {
    return this.#starts.has(formatStart(start));
  }

  /** Lists the unconfirmed starts, oldest first. */
  list(): readonly StartName[] {
    return [...this.#starts.values()];
  }

  /**
   * Removes confirmed starts. Does nothing when the newest of them has ended
   * meanwhile, because it no longer shows which starts are older.
   *
   * @returns The starts that were removed.
   */
  confirm({ through, open }: StartConfirmation): readonly StartName[] {
    const last = formatStart(through);
    const confirmed: StartName[] = [];
    if (!this.#starts.has(last)) {
      return confirmed;
    }
    const openKeys = new Set(open.map(formatStart));
    for (const [key, start] of this.#starts) {
      if (!openKeys.has(key)) {
        this.#starts.delete(key);
        confirmed.push(start);
      }
      if (key === last) {
        break;
      }
    }
    return confirmed;
  }
}

function formatStart({ task, runNumber }: StartName): string {
  return `${formatTaskId(task)}#${runNumber}`;
}
