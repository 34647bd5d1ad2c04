/**
 * Mutual authentication of entries with a shared secret. The handshake precedes
 * all calls on a connection.
 */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import * as v from "valibot";
import { encodeFrame, type FrameReader } from "./frame_codec.ts";
import { challengeSchema, helloSchema, proofSchema } from "./messages.ts";

const NONCE_BYTES = 32;

/** Options of a handshake. */
export interface HandshakeOptions {
  /** Id of this entry. */
  readonly entryId: string;
  readonly secret: string;
  readonly socket: Socket;
  readonly reader: FrameReader;
}

/**
 * Authenticates as the connecting side.
 *
 * @param options - Id of this entry, the shared secret and the connection.
 * @param peerId - Entry id that the peer must prove.
 * @throws Error when the peer does not know the secret.
 */
export async function connectHandshake(
  options: HandshakeOptions,
  peerId: string,
): Promise<void> {
  const { entryId, secret, socket, reader } = options;
  const nonce = createNonce();
  socket.write(
    encodeFrame({ type: "hello", entryId, wantedId: peerId, nonce }),
  );
  const challenge = v.parse(challengeSchema, await reader.read());
  const transcript = [entryId, peerId, nonce, challenge.nonce];
  if (!verifyMac(secret, "accept", transcript, challenge.mac)) {
    throw new Error(
      `peer ${peerId} did not prove that it knows the shared secret`,
    );
  }
  socket.write(
    encodeFrame({
      type: "proof",
      mac: createMac(secret, "connect", transcript),
    }),
  );
}

/**
 * Authenticates as the accepting side.
 *
 * @param options - Id of this entry, the shared secret and the connection.
 * @returns Id of the authenticated peer.
 * @throws Error when the peer does not know the secret, or means to connect to
 * another entry.
 */
export async function acceptHandshake(
  options: HandshakeOptions,
): Promise<string> {
  const { entryId, secret, socket, reader } = options;
  const hello = v.parse(helloSchema, await reader.read());
  if (hello.wantedId !== entryId) {
    throw new Error(
      `peer ${hello.entryId} expected entry ${hello.wantedId}, but this is ${entryId}`,
    );
  }
  const nonce = createNonce();
  const transcript = [hello.entryId, entryId, hello.nonce, nonce];
  socket.write(
    encodeFrame({
      type: "challenge",
      nonce,
      mac: createMac(secret, "accept", transcript),
    }),
  );
  const proof = v.parse(proofSchema, await reader.read());
  if (!verifyMac(secret, "connect", transcript, proof.mac)) {
    throw new Error(
      `peer ${hello.entryId} did not prove that it knows the shared secret`,
    );
  }
  return hello.entryId;
}

function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString("hex");
}

function createMac(
  secret: string,
  side: "connect" | "accept",
  transcript: string[],
): string {
  return createHmac("sha256", secret).update(
    JSON.stringify([side, ...transcript]),
  ).digest("hex");
}

function verifyMac(
  secret: string,
  side: "connect" | "accept",
  transcript: string[],
  mac: string,
): boolean {
  const expected = Buffer.from(createMac(secret, side, transcript), "hex");
  return timingSafeEqual(expected, Buffer.from(mac, "hex"));
}
