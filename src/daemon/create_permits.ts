/** Composes what hands out permits: the directory and the permit source. */
import { TwoChoicesPicker } from "../decisions/index.ts";
import {
  BackendDirectory,
  LocalPermitSource,
  type PermitSource,
} from "../services/index.ts";
import type { EntryContext } from "./entry_context.ts";

const FORGET_BACKEND_MS = 60_000;
const FORGET_INTERVAL_MS = 10_000;

/** The parts that hand out permits. */
export interface PermitParts {
  readonly directory: BackendDirectory;
  readonly permits: PermitSource;
}

/**
 * Creates the directory of backend servers and the permit source.
 *
 * @param context - The context of the services.
 * @returns Both parts, with their tasks started.
 */
export function createPermits(context: EntryContext): PermitParts {
  const { clock, fleet, random, tasks } = context;
  const directory = new BackendDirectory(clock);
  const picker = new TwoChoicesPicker(random);
  const permits = new LocalPermitSource({
    clock,
    directory,
    fleet,
    picker,
    random,
  });
  tasks.startForever("directory clean-up", async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(FORGET_INTERVAL_MS, signal);
      directory.forgetSilent(FORGET_BACKEND_MS);
    }
  });
  return { directory, permits };
}
