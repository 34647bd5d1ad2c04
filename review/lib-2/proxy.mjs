// TCP proxy in front of a stand-in. During a cut it holds all bytes in both
// directions. Held bytes are delivered when the cut heals, unless their sender
// has closed its connection by then.
import { connect, createServer } from "node:net";

export class Proxy {
  #server;
  #target;
  #isCut = false;
  #pairs = new Set();

  /** @param target Host and port of the stand-in. */
  constructor(target) {
    this.#target = target;
    this.#server = createServer(
      { noDelay: true },
      (socket) => this.#accept(socket),
    );
  }

  listen(host) {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, () => resolve(this.#server.address().port));
    });
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const pair of this.#pairs) {
      pair.flush();
    }
  }

  /** Breaks all connections. */
  reset() {
    for (const pair of this.#pairs) {
      pair.destroy();
    }
  }

  close() {
    this.reset();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(near) {
    const far = connect({ ...this.#target, noDelay: true });
    const isCut = () => this.#isCut;
    const toFar = new Direction(near, far, isCut);
    const toNear = new Direction(far, near, isCut);
    const pair = {
      flush: () => {
        toFar.flush();
        toNear.flush();
      },
      destroy: () => {
        near.destroy();
        far.destroy();
      },
    };
    this.#pairs.add(pair);
    const forget = () => {
      if (near.destroyed && far.destroyed) {
        this.#pairs.delete(pair);
      }
    };
    near.on("close", forget);
    far.on("close", forget);
  }
}

/** Passes the bytes of one socket on to another one. */
class Direction {
  #from;
  #to;
  #isCut;
  #held = [];
  #hasEnded = false;

  constructor(from, to, isCut) {
    this.#from = from;
    this.#to = to;
    this.#isCut = isCut;
    from.on("error", () => undefined);
    from.on("data", (bytes) => {
      if (this.#isCut()) {
        this.#held.push(bytes);
      } else {
        to.write(bytes);
      }
    });
    from.on("close", () => {
      // What a sender has not got through is lost with its connection.
      this.#held = [];
      this.#hasEnded = true;
      if (!this.#isCut()) {
        to.destroy();
      }
    });
  }

  flush() {
    this.#held.forEach((bytes) => this.#to.write(bytes));
    this.#held = [];
    if (this.#hasEnded) {
      this.#to.destroy();
    }
  }
}
