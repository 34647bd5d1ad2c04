/** Composes the services that grant permits to requests. */
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

/** Time without an announcement until a backend server is removed (ms). */
const BACKEND_RETENTION_MS = 60_000;
const CLEANUP_INTERVAL_MS = 10_000;

/** The services that grant permits, and the directory of backend servers. */
export interface PermitServices {
  readonly directory: BackendDirectory;
  readonly permits: PermitSource;
  readonly coordinator: PermitCoordinator;
  /**
   * Tells whether a permit coordinator has completed its takeover since this
   * entry started; before that, this entry cannot obtain permits.
   */
  readonly hasSeenTakeoverEnd: () => boolean;
}

/**
 * Creates the directory of backend servers, the permit coordinator and the
 * permit source, and starts their tasks.
 *
 * @param context - The context of the entry.
 * @returns The services.
 */
export function createPermitServices(context: EntryContext): PermitServices {
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
      await clock.sleep(CLEANUP_INTERVAL_MS, signal);
      directory.removeSilent(BACKEND_RETENTION_MS);
    }
  });
  return {
    directory,
    permits: source,
    coordinator,
    hasSeenTakeoverEnd: () => source.view.hasSeenTakeoverEnd,
  };
}
