package micatally.controller

import micatally.api.UserApi
import micatally.api.WorkerApi
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse

/** Routes the requests that arrive on the address for users and workers. */
class UserWorkerRouter(
    private val userApi: UserApi,
    private val workerApi: WorkerApi,
    private val cpuUsage: CpuUsage,
) {
    /**
     * Returns the response of the resource that [request] names. Returns 404 if there is no such resource, and 405 if
     * the resource does not support the method.
     */
    suspend fun route(request: HttpRequest): HttpResponse {
        val path = request.path
        return when {
            path == HEARTBEAT ->
                withMethod("POST", request) {
                    cpuUsage.measure(CpuUsage.Kind.HEARTBEATS) { workerApi.handleHeartbeat(request) }
                }
            path == HEALTH -> userApi.health()
            path == JOBS -> withMethod("POST", request) { userApi.submit(request) }
            path.startsWith(JOB_PREFIX) -> routeJob(path.removePrefix(JOB_PREFIX), request)
            else -> errorResponse(NOT_FOUND, "no such resource")
        }
    }

    private suspend fun routeJob(
        resource: String,
        request: HttpRequest,
    ): HttpResponse {
        if (!resource.endsWith(CANCEL_SUFFIX)) return withMethod("GET", request) { userApi.query(resource) }
        return withMethod("POST", request) { userApi.cancel(resource.removeSuffix(CANCEL_SUFFIX)) }
    }

    private inline fun withMethod(
        method: String,
        request: HttpRequest,
        respond: () -> HttpResponse,
    ): HttpResponse = if (request.method == method) respond() else errorResponse(METHOD_NOT_ALLOWED, "use $method")

    /** The paths. */
    companion object {
        private const val NOT_FOUND = 404
        private const val METHOD_NOT_ALLOWED = 405

        /** The path of the workers' heartbeats. */
        const val HEARTBEAT = "/v1/report"
        private const val HEALTH = "/healthz"
        private const val JOBS = "/work"
        private const val JOB_PREFIX = "/work/"
        private const val CANCEL_SUFFIX = "/cancel"
    }
}
