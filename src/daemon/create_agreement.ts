/** Composes the replicated state. */
import type { Result } from "true-myth";
import { FileLogStore, NodeFileSystem } from "../adapters/disk/index.ts";
import type { Failure } from "../domain/index.ts";
import type { Agreement, PeerNetwork } from "../ports/index.ts";
import { SingleAgreement } from "../replication/index.ts";
import type { EntryBase } from "./entry_context.ts";

/**
 * Creates the agreement from what the data folder holds.
 *
 * @param base - The adapters of the machine.
 * @param _network - Calls between entries.
 * @returns The agreement, or the failure of the disk.
 */
export async function createAgreement(
  base: EntryBase,
  _network: PeerNetwork,
): Promise<Result<Agreement, Failure>> {
  const { settings, logger, onFatal, clock } = base;
  const files = await NodeFileSystem.load(settings.dataFolder ?? "data");
  const store = new FileLogStore({ files, logger, onSyncFailure: onFatal });
  return await SingleAgreement.load({
    entryId: settings.entryId,
    store,
    clock,
  });
}
