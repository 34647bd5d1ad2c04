/** Composes the network between entries. */
import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import { TcpPeerNetwork } from "../adapters/peer/index.ts";
import { createFailure, type Failure } from "../domain/index.ts";
import type { EntryBase } from "./entry_context.ts";
import { PEER_SECRET_MIN_LENGTH } from "./settings/index.ts";

/**
 * Creates the network, without listening.
 *
 * @param base - Settings and adapters of the entry.
 * @returns The network, or `invalidSetting` when the peer secret is unreadable
 * or too short.
 */
export async function createNetwork(
  base: EntryBase,
): Promise<Result<TcpPeerNetwork, Failure>> {
  const secret = await loadPeerSecret(base.settings.peerSecretFile);
  return secret.map((value) =>
    new TcpPeerNetwork({
      ...base,
      entryId: base.settings.entryId,
      secret: value,
      host: base.settings.peer.host,
      port: base.settings.peer.port,
      peers: base.settings.peers,
    })
  );
}

/**
 * Starts listening for the other entries, if there are any.
 *
 * @param base - Settings and adapters of the entry.
 * @param network - The network.
 * @returns Nothing, or `invalidSetting` when the server cannot listen at the
 * address of the setting `peer`.
 */
export async function startNetwork(
  { settings }: EntryBase,
  network: TcpPeerNetwork,
): Promise<Result<void, Failure>> {
  const { peer, peers } = settings;
  if (peers.length === 0) {
    return Result.ok(undefined);
  }
  try {
    await network.start();
    return Result.ok(undefined);
  } catch (error) {
    return Result.err(
      createFailure(
        "invalidSetting",
        `cannot listen at ${peer.host}, peer.port ${peer.port}: ${error}`,
        { path: "peer.port", remedy: "choose a free port of this machine" },
      ),
    );
  }
}

async function loadPeerSecret(
  file: string | null,
): Promise<Result<string, Failure>> {
  if (file === null) {
    return Result.ok("");
  }
  try {
    const secret = (await readFile(file, "utf8")).trim();
    return secret.length >= PEER_SECRET_MIN_LENGTH
      ? Result.ok(secret)
      : Result.err(
        createFailure(
          "invalidSetting",
          `peerSecretFile ${file} holds only ${secret.length} characters`,
          {
            path: "peerSecretFile",
            remedy:
              `write at least ${PEER_SECRET_MIN_LENGTH} random characters, the same for every entry`,
          },
        ),
      );
  } catch (error) {
    return Result.err(
      createFailure(
        "invalidSetting",
        `peerSecretFile ${file} cannot be read: ${error}`,
        {
          path: "peerSecretFile",
          remedy:
            "set it to a readable file with the secret that all entries share",
        },
      ),
    );
  }
}
