/** A socket whose test decides when data arrives and when it closes. */
import { EventEmitter } from "node:events";

/** The part of a socket that the limits of connections rely on. */
export class FakeSocket extends EventEmitter {
  bytesRead = 0;
  bytesWritten = 0;
  writableLength = 0;
  destroyed = false;
  #isPaused = false;

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    this.#isPaused = false;
    this.emit("resume");
  }

  isPaused(): boolean {
    return this.#isPaused;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}
