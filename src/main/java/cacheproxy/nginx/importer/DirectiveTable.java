package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Report entries for directives that the importer does not interpret. The operators' documentation contains the same
 * table. Directives that are not listed are reported as unknown.
 */
final class DirectiveTable {
    /** Directives that do not affect where requests go, with the reason. */
    private static final Map<String, String> IGNORED = new HashMap<>();
    /** Directives that would affect requests, with the feature that is missing here. */
    private static final Map<String, String> UNSUPPORTED = new HashMap<>();
    /** Directives that the importer interprets if a request can reach them. */
    private static final Set<String> ROUTING_DIRECTIVES = Set.copyOf(words("""
            location if upstream set rewrite return break proxy_pass memcached_pass error_page limit_except
            server server_name listen hash ip_hash least_conn random least_time sticky
            """));
    /** Blocks whose content is not reported directive by directive. */
    private static final Set<String> OPAQUE_BLOCKS =
            Set.of("map", "geo", "split_clients", "types", "events", "stream", "mail", "limit_except", "charset_map");
    /** Blocks that define variables. */
    private static final Set<String> VARIABLE_BLOCKS = Set.of("map", "geo", "split_clients");
    /** Name prefixes of directives of modules for other protocols and programs. */
    private static final List<String> OTHER_PROTOCOL_PREFIXES =
            List.of("js_", "perl", "fastcgi_", "uwsgi_", "scgi_", "grpc_");

    static {
        ignored("of nginx's own process", """
                user pid daemon master_process worker_processes events worker_rlimit_nofile worker_rlimit_core
                worker_priority worker_cpu_affinity worker_shutdown_timeout working_directory load_module
                pcre_jit thread_pool env lock_file timer_resolution ssl_engine variables_hash_max_size
                variables_hash_bucket_size map_hash_max_size map_hash_bucket_size server_names_hash_max_size
                server_names_hash_bucket_size types_hash_max_size types_hash_bucket_size
                proxy_headers_hash_max_size proxy_headers_hash_bucket_size aio aio_write directio
                output_buffers open_file_cache open_file_cache_valid open_file_cache_min_uses
                open_file_cache_errors read_ahead postpone_output recursive_error_pages msie_padding
                split_clients_hash_max_size
                """);
        ignored("of logs", """
                access_log error_log log_format log_not_found log_subrequest rewrite_log
                uninitialized_variable_warn open_log_file_cache
                """);
        ignored("of HTTP towards clients, which have another protocol here", """
                sendfile sendfile_max_chunk tcp_nopush tcp_nodelay keepalive_timeout keepalive_requests
                keepalive_disable keepalive_time send_timeout reset_timedout_connection lingering_close
                lingering_time lingering_timeout client_body_timeout client_header_timeout
                client_max_body_size client_body_buffer_size client_body_temp_path client_header_buffer_size
                client_body_in_file_only client_body_in_single_buffer large_client_header_buffers
                ignore_invalid_headers underscores_in_headers server_tokens types default_type add_header
                add_trailer expires etag if_modified_since charset source_charset charset_types
                override_charset gzip gzip_types gzip_vary gzip_proxied gzip_comp_level gzip_min_length
                gzip_buffers gzip_http_version gzip_disable gzip_static gunzip http2
                http2_max_concurrent_streams http3 quic_retry port_in_redirect absolute_redirect
                server_name_in_redirect chunked_transfer_encoding max_ranges real_ip_header set_real_ip_from
                real_ip_recursive resolver resolver_timeout request_pool_size connection_pool_size
                subrequest_output_buffer_size status_zone
                """);
        ignored("connections are not encrypted here", """
                ssl ssl_certificate ssl_certificate_key ssl_protocols ssl_ciphers ssl_prefer_server_ciphers
                ssl_session_cache ssl_session_timeout ssl_dhparam ssl_session_tickets ssl_session_ticket_key
                ssl_ecdh_curve ssl_stapling ssl_stapling_verify ssl_trusted_certificate ssl_buffer_size
                ssl_early_data ssl_password_file ssl_stapling_responder ssl_conf_command proxy_ssl_server_name
                proxy_ssl_name proxy_ssl_verify proxy_ssl_protocols proxy_ssl_session_reuse proxy_ssl_ciphers
                proxy_ssl_certificate proxy_ssl_certificate_key proxy_ssl_trusted_certificate
                proxy_ssl_verify_depth
                """);
        ignored("of HTTP towards servers, which have another protocol here", """
                proxy_http_version proxy_set_header proxy_set_body proxy_redirect proxy_buffering
                proxy_buffer_size proxy_buffers proxy_busy_buffers_size proxy_max_temp_file_size
                proxy_temp_file_write_size proxy_temp_path proxy_request_buffering proxy_pass_header
                proxy_hide_header proxy_pass_request_headers proxy_pass_request_body proxy_ignore_headers
                proxy_ignore_client_abort proxy_send_timeout proxy_send_lowat proxy_socket_keepalive
                proxy_cookie_domain proxy_cookie_path proxy_cookie_flags proxy_headers_hash proxy_bind
                proxy_limit_rate proxy_force_ranges memcached_buffer_size memcached_connect_timeout
                memcached_read_timeout memcached_send_timeout memcached_gzip_flag proxy_intercept_errors
                """);
        ignored(
                "of connections to servers, which are kept open here",
                "keepalive keepalive_time zone state ntlm queue");
        ignored("of files, of which nothing is served here", """
                root alias index autoindex autoindex_exact_size autoindex_format autoindex_localtime
                disable_symlinks try_files internal merge_slashes mp4 flv random_index
                """);
        unsupported(
                "no values are kept here: what nginx would have answered from its cache is asked of the servers each time",
                """
                proxy_cache proxy_cache_path proxy_cache_key proxy_cache_valid proxy_cache_bypass
                proxy_no_cache proxy_cache_lock proxy_cache_lock_age proxy_cache_lock_timeout
                proxy_cache_min_uses proxy_cache_methods proxy_cache_use_stale proxy_cache_revalidate
                proxy_cache_background_update proxy_cache_max_range_offset proxy_cache_convert_head
                proxy_cache_purge proxy_store proxy_store_access slice fastcgi_cache fastcgi_cache_path
                fastcgi_cache_key fastcgi_cache_valid
                """);
        unsupported("nobody is turned away by it here: requests that nginx would have refused are passed on", """
                allow deny auth_basic auth_basic_user_file auth_request auth_request_set auth_jwt satisfy
                limit_req limit_req_zone limit_req_status limit_req_log_level limit_req_dry_run limit_conn
                limit_conn_zone limit_conn_status limit_rate limit_rate_after secure_link secure_link_md5
                secure_link_secret valid_referers referer_hash_max_size ssl_client_certificate
                ssl_verify_client ssl_verify_depth ssl_crl ssl_reject_handshake
                """);
        unsupported("requests are not copied here", "mirror mirror_request_body");
        unsupported("answers are not changed here", """
                sub_filter sub_filter_once sub_filter_types sub_filter_last_modified addition_types
                add_before_body add_after_body image_filter xslt_stylesheet ssi ssi_types
                """);
        unsupported("only http is imported", "stream mail");
        unsupported("servers are judged by the requests they get; no checks are sent", "health_check check match");
    }

    private DirectiveTable() {}

    private static List<String> words(String text) {
        return List.of(text.strip().split("\\s+"));
    }

    private static void ignored(String reason, String names) {
        words(names).forEach(name -> IGNORED.put(name, reason));
    }

    private static void unsupported(String reason, String names) {
        words(names).forEach(name -> UNSUPPORTED.put(name, reason));
    }

    /** Whether a directive and everything in its block are reported as one. */
    static boolean isReportedWithBlock(Directive directive) {
        return OPAQUE_BLOCKS.contains(directive.name()) || directive.rawBlock() != null;
    }

    /**
     * Returns the entry of a directive for which no other part of the importer has added one.
     *
     * @param withinNotCarried whether an enclosing block was not carried over
     */
    static Report.Entry defaultEntry(Directive directive, boolean withinNotCarried) {
        String name = directive.name();
        if (name.contains("_by_lua")) {
            return notCarried(directive, "programs are not run here: it has no effect");
        }
        if (OTHER_PROTOCOL_PREFIXES.stream().anyMatch(name::startsWith)) {
            return notCarried(directive, "of a protocol or program that is not spoken here");
        }
        if (VARIABLE_BLOCKS.contains(name)) {
            return left(directive, "no imported route depends on it");
        }
        if (ROUTING_DIRECTIVES.contains(name)) {
            return withinNotCarried
                    ? left(directive, "part of what is not carried over")
                    : notCarried(directive, "no request was found to reach it");
        }
        if (name.equals("http")) {
            return new Report.Entry(directive, Report.Level.CARRIED, "");
        }
        if (UNSUPPORTED.containsKey(name)) {
            return notCarried(directive, UNSUPPORTED.get(name));
        }
        if (IGNORED.containsKey(name)) {
            return left(directive, IGNORED.get(name));
        }
        return notCarried(directive, "this directive is not known here; what it does is not done");
    }

    private static Report.Entry left(Directive directive, String text) {
        return new Report.Entry(directive, Report.Level.LEFT, text);
    }

    private static Report.Entry notCarried(Directive directive, String text) {
        return new Report.Entry(directive, Report.Level.NOT, text);
    }
}
