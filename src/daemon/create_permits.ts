/** Composes what hands out permits: directory, coordinator and source. */
import {
  TwoChoicesPicker,
  WeightedMaxMinAllocator,
} from "../decisions/index.ts";
import {
  BackendDirectory,
  FleetPermitSource,
  PermitCoordinator,
  PermitReporter,
  type PermitSource,
} from "../services/index.ts";
import type { EntryContext } from "./entry_context.ts";

const FORGET_BACKEND_MS = 60_000;
const FORGET_INTERVAL_MS = 10_000;

/** The parts that hand out permits. */
export interface PermitParts {
  readonly directory: BackendDirectory;
  readonly permits: PermitSource;
  readonly coordinator: PermitCoordinator;
  /** Tells whether this entry has been able to hand out permits yet. */
  readonly hasSettled: () => boolean;
}

/**
 * Creates the directory of backend servers, the coordinator and the source.
 *
 * @param context - The context of the services.
 * @returns The parts, with their tasks started.
 */
export function createPermits(context: EntryContext): PermitParts {
  const { clock, random, tasks, settings } = context;
  const { entryId } = settings;
  const entryIds = [entryId, ...settings.peers.map((peer) => peer.entryId)];
  const directory = new BackendDirectory(clock);
  const source = new FleetPermitSource(context);
  const coordinator = new PermitCoordinator({
    ...context,
    entryId,
    entryIds,
    allocator: new WeightedMaxMinAllocator(),
    picker: new TwoChoicesPicker(random),
    pushToSelf: (push) => source.handleGrants(push),
  });
  const reporter = new PermitReporter({
    ...context,
    entryId,
    directory,
    source,
    coordinator,
  });
  tasks.startForever(
    "permit coordinator",
    (signal) => coordinator.run(signal),
  );
  tasks.startForever("permit reports", (signal) => reporter.run(signal));
  tasks.startForever("directory clean-up", async (signal) => {
    while (!signal.aborted) {
      await clock.sleep(FORGET_INTERVAL_MS, signal);
      directory.removeSilent(FORGET_BACKEND_MS);
    }
  });
  return {
    directory,
    permits: source,
    coordinator,
    hasSettled: () => source.view.hasSeenTakeoverEnd,
  };
}
