/** The callers' listener: HTTP in, problems and answers out. */
export { HTTP_EDGE_EVENTS } from './events';
export { openHttpEdge } from './open-http-edge';
export type { HttpEdge, HttpEdgeOptions } from './types';
