/** Divides scarce places among teams. */
export * from "./heap.ts";
export * from "./share_allocator.ts";
