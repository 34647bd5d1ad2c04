/** Port for messages between entries. */
import type { Result } from "true-myth";
import type { Failure } from "../domain/index.ts";

/** Options of {@link PeerNetwork.call}. */
export interface PeerCallOptions {
  /** Time after which the call fails with `peerUnreachable`, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** Handler for one message method of authenticated peers. */
export type PeerHandler = (
  peerId: string,
  body: unknown,
) => Promise<Result<unknown, Failure>>;

/** Authenticated calls between entries, with at most one answer for each call. */
export interface PeerNetwork {
  /**
   * Calls a peer.
   *
   * @param peerId - Entry id of the peer.
   * @param method - Method name of the message.
   * @param body - Body, which the peer's handler validates.
   * @param options - Timeout (ms) and signal.
   * @returns The peer's answer, or `peerUnreachable` when no answer arrived; the
   * peer may have handled the message nevertheless.
   */
  call(
    peerId: string,
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>>;
  /**
   * Registers the handler of a method.
   *
   * @param method - Method name of the messages.
   * @param handler - Function that is called for each message; calls may run
   * concurrently.
   */
  handle(method: string, handler: PeerHandler): void;
}
