// Writes record.txt: one line per event, with the time since the start.
import { appendFileSync, writeFileSync } from "node:fs";

/** Record of what was sent, answered and run. */
export class Record {
  #file;
  #startedAtMs = Date.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, "");
  }

  /** Time since the start of the record, in milliseconds. */
  get nowMs() {
    return Date.now() - this.#startedAtMs;
  }

  add(text) {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#file, `${seconds} ${text}\n`);
  }
}
