/** Messages between entries, as the services see them. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** Options of {@link PeerNetwork.call}. */
export interface PeerCallOptions {
  /** Time after which the call fails with `peerUnreachable`, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** Handles one kind of message of authenticated peers. */
export type PeerHandler = (
  peerId: string,
  body: unknown,
) => Promise<Result<unknown, Failure>>;

/** Authenticated calls between entries, at most one answer for each call. */
export interface PeerNetwork {
  /**
   * Calls a peer.
   *
   * @param peerId - Entry id of the peer.
   * @param method - Name of the message.
   * @param body - Body that the peer's handler validates.
   * @param options - Timeout (ms) and signal.
   * @returns The peer's answer, or `peerUnreachable` when none came; the
   * message may have been handled all the same.
   */
  call(
    peerId: string,
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>>;
  /**
   * Registers the handler of a message.
   *
   * @param method - Name of the message.
   * @param handler - Called for each message; calls run side by side.
   */
  handle(method: string, handler: PeerHandler): void;
}
