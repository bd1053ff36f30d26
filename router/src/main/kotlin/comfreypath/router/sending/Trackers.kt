package comfreypath.router.sending

/**
 * What this router keeps count of while it sends.
 *
 * @property endpoints what it has at each endpoint, and what it has seen of each
 * @property retries the attempts beyond the first that it may still make
 * @property progress its requests at each service, and how long they take
 */
class Trackers(val endpoints: EndpointTracker, val retries: RetryBudgets, val progress: ServiceProgress)
